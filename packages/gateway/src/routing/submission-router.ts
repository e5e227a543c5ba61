import { create } from '@bufbuild/protobuf';
import { Code, ConnectError, type Client } from '@connectrpc/connect';
import { buildProblem } from '@guavaspindle/kernel/dispatch/build-problem';
import type { Problem } from '@guavaspindle/kernel/outcome/problem';
import { decodeTicket } from '@guavaspindle/kernel/submission/decode-ticket';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import { computeKeyDigest } from '@guavaspindle/platform/ledger/compute-key-digest';
import { computePartitionKey } from '@guavaspindle/platform/ledger/compute-partition-key';
import {
  JobReplySchema,
  type DispatcherService,
  type JobReply,
  type Member,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import type { ClientPool } from '@guavaspindle/runtime/control/client-pool';
import { isRefusedStream } from '@guavaspindle/runtime/control/is-refused-stream';
import { err, ok, type Result } from 'neverthrow';
import { buildOutcomeUnknownProblem } from './build-outcome-unknown-problem';
import { buildOwnerUnreachableProblem } from './build-owner-unreachable-problem';
import type { DispatcherDirectory } from './dispatcher-directory';
import type { Submission } from './submission';
import type { TicketPool } from './ticket-pool';

/** Added to the job's deadline to leave time for the reply to arrive. */
const REPLY_GRACE_MS = 1_000;
const DEFAULT_DEADLINE_MS = 30_000;
/** Delay before a submission is resent to an owner that did not answer. */
const RESEND_DELAY_MS = 100;
const CALL_TIMEOUT_MS = 2_000;

/** Dependencies of a `SubmissionRouter`. */
interface RouterDependencies {
  readonly domain: string;
  readonly directory: DispatcherDirectory;
  readonly clients: ClientPool<typeof DispatcherService>;
  readonly ticketPool: TicketPool;
  readonly clock: Clock;
}

/** Codes of refusals that concern only the dispatcher that sent them. */
const LOCAL_REFUSAL_CODES = ['draining', 'not-ready', 'over-limit', 'no-capacity'];

/** Returns whether a reply reports that no task was run. */
function isNotRun({ result }: JobReply): boolean {
  return result.case === 'problem' && result.value.outcome === 'not-run';
}

/**
 * Returns whether a reply is a refusal that concerns only this dispatcher. Another dispatcher may
 * then accept the submission.
 */
function isLocalRefusal(reply: JobReply): boolean {
  const { result } = reply;
  return (
    isNotRun(reply) && result.case === 'problem' && LOCAL_REFUSAL_CODES.includes(result.value.code)
  );
}

/**
 * Finds the owner of each submission and relays the submission to it. A submission goes to a second
 * dispatcher only after the first one has confirmed that it runs none of its tasks.
 */
export class SubmissionRouter {
  constructor(private readonly dependencies: RouterDependencies) {}

  /** Submits a job and waits for the reply of its owner. */
  async submitJob(submission: Submission): Promise<Result<JobReply, Problem>> {
    const { identity } = submission;
    switch (identity.type) {
      case 'ticket':
        return this.submitToOwner(submission, identity.ticket);
      case 'key':
        return this.submitWithKey(submission, identity.key);
      case 'none':
        return this.submitToAny(submission);
      default:
        return identity satisfies never;
    }
  }

  /** Requests the state of a job from its owner. */
  async getJob(jobId: string, caller: string): Promise<Result<JobReply, Problem>> {
    return this.sendToOwner(jobId, (client) =>
      client.getJob({ jobId, caller }, { timeoutMs: CALL_TIMEOUT_MS }),
    );
  }

  /** Requests the cancellation of a job from its owner. */
  async cancelJob(jobId: string, caller: string) {
    return this.sendToOwner(jobId, (client) =>
      client.cancelJob({ jobId, caller }, { timeoutMs: CALL_TIMEOUT_MS }),
    );
  }

  /** Requests tickets for a caller from one of this failure domain's dispatchers. */
  async mintTickets(caller: string, count: number): Promise<Result<string[], Problem>> {
    const { directory, clients, domain } = this.dependencies;
    const candidates = directory.listRoundRobin(domain);
    for (const { address } of candidates) {
      try {
        // A lost reply only wastes ticket numbers, so it is safe to try the next dispatcher.
        // eslint-disable-next-line no-await-in-loop -- dispatchers are tried one at a time
        const reply = await clients
          .getClient(address)
          .mintTickets({ caller, count }, { timeoutMs: CALL_TIMEOUT_MS });
        return ok(reply.tickets);
      } catch {
        // Tries the next dispatcher.
      }
    }
    return err(SubmissionRouter.buildNoDispatcherProblem());
  }

  private async sendToOwner<Reply>(
    jobId: string,
    send: (client: Client<typeof DispatcherService>) => Promise<Reply>,
  ): Promise<Result<Reply, Problem>> {
    const ticket = decodeTicket(jobId);
    if (ticket === undefined) {
      const detail = 'This is not the id of a job.';
      return err(buildProblem('unknown-job', 'not-run', detail));
    }
    const owner = this.dependencies.directory.findOwner(ticket.incarnation);
    if (owner === undefined) {
      return err(buildOwnerUnreachableProblem());
    }
    try {
      return ok(await send(this.dependencies.clients.getClient(owner.address)));
    } catch {
      return err(buildOwnerUnreachableProblem());
    }
  }

  /**
   * Sends a submission to the owner of its ticket, and resends it only to that owner until it
   * answers or the deadline passes. After an attempt without an answer, a refusal does not prove
   * that nothing runs: the earlier attempt may still arrive and be accepted.
   */
  private async submitToOwner(
    submission: Submission,
    ticket: string,
  ): Promise<Result<JobReply, Problem>> {
    const decodedTicket = decodeTicket(ticket);
    if (decodedTicket === undefined) {
      const detail = 'ticket: is not a ticket; ask for one with POST /v1/tickets.';
      return err(buildProblem('ticket-invalid', 'not-run', detail));
    }
    const { clock, directory } = this.dependencies;
    const retryUntilMs = clock.now() + (submission.deadlineMs ?? DEFAULT_DEADLINE_MS);
    for (let unansweredAttempts = 0; ; unansweredAttempts += 1) {
      const owner = directory.findOwner(decodedTicket.incarnation);
      if (owner === undefined) {
        return err(buildOwnerUnreachableProblem());
      }
      // eslint-disable-next-line no-await-in-loop -- attempts to the same owner are sequential
      const reply = await this.sendSubmission(owner, submission, ticket, '');
      if (reply !== undefined) {
        return unansweredAttempts > 0 && isNotRun(reply)
          ? err(buildOutcomeUnknownProblem())
          : ok(reply);
      }
      if (clock.now() >= retryUntilMs) {
        return err(buildOwnerUnreachableProblem());
      }
      // eslint-disable-next-line no-await-in-loop -- waits before the next attempt
      await clock.pause(RESEND_DELAY_MS);
    }
  }

  private async submitWithKey(
    submission: Submission,
    key: string,
  ): Promise<Result<JobReply, Problem>> {
    const { directory, clients, domain } = this.dependencies;
    const partitionKey = computePartitionKey(computeKeyDigest(submission.caller, key));
    const candidates = directory.listForKey(submission.domain ?? domain, partitionKey);
    for (const candidate of candidates) {
      // eslint-disable-next-line no-await-in-loop -- dispatchers are tried one at a time
      if (await clients.openConnection(candidate.address)) {
        // eslint-disable-next-line no-await-in-loop -- dispatchers are tried one at a time
        const reply = await this.sendSubmission(candidate, submission, '', key);
        if (reply === undefined) {
          // The dispatcher may have claimed the key and started the job. The ledger names the owner
          // when the caller submits again.
          return err(buildOwnerUnreachableProblem());
        }
        if (reply.result.case === 'ownedByJobId') {
          return this.submitToOwner(submission, reply.result.value);
        }
        const isDraining =
          reply.result.case === 'problem' && reply.result.value.code === 'draining';
        if (!isDraining) {
          return ok(reply);
        }
      }
    }
    return err({ ...SubmissionRouter.buildNoDispatcherProblem(), outcome: 'unknown' });
  }

  private async submitToAny(submission: Submission): Promise<Result<JobReply, Problem>> {
    const { directory, clients, ticketPool, domain } = this.dependencies;
    const candidates = directory.listRoundRobin(submission.domain ?? domain);
    let refusal: JobReply | undefined;
    for (const candidate of candidates) {
      const client = clients.getClient(candidate.address);
      // eslint-disable-next-line no-await-in-loop -- dispatchers are tried one at a time
      const ticket = await ticketPool.takeTicket(candidate.incarnation, client);
      // eslint-disable-next-line no-await-in-loop -- dispatchers are tried one at a time
      if (ticket !== undefined && (await clients.openConnection(candidate.address))) {
        // eslint-disable-next-line no-await-in-loop -- dispatchers are tried one at a time
        const result = await this.submitToOwner(submission, ticket);
        if (result.isErr() || !isLocalRefusal(result.value)) {
          return result;
        }
        refusal = result.value;
      }
    }
    return refusal === undefined ? err(SubmissionRouter.buildNoDispatcherProblem()) : ok(refusal);
  }

  /** Sends a submission once. Returns undefined if no answer came; the outcome is then unknown. */
  private async sendSubmission(
    owner: Member,
    submission: Submission,
    ticket: string,
    idempotencyKey: string,
  ): Promise<JobReply | undefined> {
    const timeoutMs = (submission.deadlineMs ?? DEFAULT_DEADLINE_MS) + REPLY_GRACE_MS;
    try {
      return await this.dependencies.clients.getClient(owner.address).submitJob(
        {
          ticket,
          idempotencyKey,
          caller: submission.caller,
          kind: submission.kind,
          bodyHash: submission.bodyHash,
          deadlineMs: submission.deadlineMs ?? 0,
          tasks: submission.tasks.map((task) => ({ ...task })),
          idempotent: submission.idempotent,
          wait: submission.wait,
        },
        { timeoutMs },
      );
    } catch (error) {
      if (isRefusedStream(error)) {
        const detail = 'The dispatcher is closing its connections.';
        const value = buildProblem('draining', 'not-run', detail);
        return create(JobReplySchema, { result: { case: 'problem', value } });
      }
      if (ConnectError.from(error).code === Code.Internal) {
        throw error;
      }
      return undefined;
    }
  }

  private static buildNoDispatcherProblem(): Problem {
    const detail = 'No dispatcher of the failure domain can be reached.';
    return buildProblem('no-capacity', 'not-run', detail, 1000);
  }
}
