import { Code, ConnectError, type Client } from '@connectrpc/connect';
import { buildProblem } from '@guavaspindle/kernel/dispatch/build-problem';
import type { Problem } from '@guavaspindle/kernel/outcome/problem';
import { decodeTicket } from '@guavaspindle/kernel/submission/decode-ticket';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import { computeKeyDigest } from '@guavaspindle/platform/ledger/compute-key-digest';
import { computePartitionKey } from '@guavaspindle/platform/ledger/compute-partition-key';
import type {
  DispatcherService,
  JobReply,
  Member,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import type { ClientPool } from '@guavaspindle/runtime/control/client-pool';
import { err, ok, type Result } from 'neverthrow';
import { buildOutcomeUnknownProblem } from './build-outcome-unknown-problem';
import { buildOwnerUnreachableProblem } from './build-owner-unreachable-problem';
import type { DispatcherDirectory } from './dispatcher-directory';
import type { Submission } from './submission';
import type { TicketPool } from './ticket-pool';

/** Added to a job's deadline for the answer to travel. */
const REPLY_GRACE_MS = 1_000;
const DEFAULT_DEADLINE_MS = 30_000;
/** Pause before an owner that did not answer is asked again. */
const RESEND_DELAY_MS = 100;
const CALL_TIMEOUT_MS = 2_000;

/** What the router works with. */
interface RouterDependencies {
  readonly domain: string;
  readonly directory: DispatcherDirectory;
  readonly clients: ClientPool<typeof DispatcherService>;
  readonly ticketPool: TicketPool;
  readonly clock: Clock;
}

/** Codes of refusals that are about one dispatcher only. */
const LOCAL_REFUSAL_CODES = ['draining', 'not-ready', 'over-limit', 'no-capacity'];

/** Tells whether a reply says that nothing was run. */
function isNotRun({ result }: JobReply): boolean {
  return result.case === 'problem' && result.value.outcome === 'not-run';
}

/** Tells whether a refusal is about this dispatcher only, so that another may take the work. */
function isLocalRefusal(reply: JobReply): boolean {
  const { result } = reply;
  return (
    isNotRun(reply) && result.case === 'problem' && LOCAL_REFUSAL_CODES.includes(result.value.code)
  );
}

/**
 * Finds the owner of each submission and relays to it. A submission goes to a second dispatcher
 * only after the first one proved that it runs nothing of it.
 */
export class SubmissionRouter {
  constructor(private readonly dependencies: RouterDependencies) {}

  /** Submits and waits for the reply. */
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

  /** Asks a job's owner for its state. */
  async getJob(jobId: string, caller: string): Promise<Result<JobReply, Problem>> {
    return this.sendToOwner(jobId, (client) =>
      client.getJob({ jobId, caller }, { timeoutMs: CALL_TIMEOUT_MS }),
    );
  }

  /** Asks a job's owner to cancel it. */
  async cancelJob(jobId: string, caller: string) {
    return this.sendToOwner(jobId, (client) =>
      client.cancelJob({ jobId, caller }, { timeoutMs: CALL_TIMEOUT_MS }),
    );
  }

  /** Mints tickets for a caller at one of this failure domain's dispatchers. */
  async mintTickets(caller: string, count: number): Promise<Result<string[], Problem>> {
    const { directory, clients, domain } = this.dependencies;
    const candidates = directory.listRoundRobin(domain);
    for (const { address } of candidates) {
      try {
        // A lost answer only wastes numbers, so the next dispatcher may simply be asked.
        // eslint-disable-next-line no-await-in-loop -- one dispatcher after the other
        const reply = await clients
          .getClient(address)
          .mintTickets({ caller, count }, { timeoutMs: CALL_TIMEOUT_MS });
        return ok(reply.tickets);
      } catch {
        // Falls through to the next dispatcher.
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
   * Sends to the only owner, and again to it alone, until it answers or the deadline passes. After
   * a copy that got no answer, a refusal proves nothing: that copy may still arrive and be accepted.
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
      // eslint-disable-next-line no-await-in-loop -- one try after the other, to the same owner
      const reply = await this.sendSubmission(owner, submission, ticket, '');
      if (reply !== undefined) {
        return unansweredAttempts > 0 && isNotRun(reply)
          ? err(buildOutcomeUnknownProblem())
          : ok(reply);
      }
      if (clock.now() >= retryUntilMs) {
        return err(buildOwnerUnreachableProblem());
      }
      // eslint-disable-next-line no-await-in-loop -- lets the owner come back
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
      // eslint-disable-next-line no-await-in-loop -- one dispatcher after the other
      if (await clients.openConnection(candidate.address)) {
        // eslint-disable-next-line no-await-in-loop -- one dispatcher after the other
        const reply = await this.sendSubmission(candidate, submission, '', key);
        if (reply === undefined) {
          // The claim and the job may be under way there; the ledger knows the owner later.
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
      // eslint-disable-next-line no-await-in-loop -- one dispatcher after the other
      const ticket = await ticketPool.takeTicket(candidate.incarnation, client);
      // eslint-disable-next-line no-await-in-loop -- one dispatcher after the other
      if (ticket !== undefined && (await clients.openConnection(candidate.address))) {
        // eslint-disable-next-line no-await-in-loop -- one dispatcher after the other
        const result = await this.submitToOwner(submission, ticket);
        if (result.isErr() || !isLocalRefusal(result.value)) {
          return result;
        }
        refusal = result.value;
      }
    }
    return refusal === undefined ? err(SubmissionRouter.buildNoDispatcherProblem()) : ok(refusal);
  }

  /** Sends once; undefined if no answer came, so that anything may have happened. */
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
