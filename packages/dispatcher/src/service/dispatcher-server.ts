import type { MessageInitShape } from '@bufbuild/protobuf';
import type { ServiceImpl } from '@connectrpc/connect';
import { buildProblem } from '@guavaspindle/kernel/dispatch/build-problem';
import type { DispatchKernel } from '@guavaspindle/kernel/dispatch/dispatch-kernel';
import type { CallerName } from '@guavaspindle/kernel/ids/caller-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { KindName } from '@guavaspindle/kernel/ids/kind-name';
import type { LoanId } from '@guavaspindle/kernel/ids/loan-id';
import type { Problem } from '@guavaspindle/kernel/outcome/problem';
import type { Job } from '@guavaspindle/kernel/submission/job';
import type { TicketCheck } from '@guavaspindle/kernel/submission/ticket-check';
import type { TicketIssuer } from '@guavaspindle/kernel/submission/ticket-issuer';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import { computeKeyDigest } from '@guavaspindle/platform/ledger/compute-key-digest';
import type { IdempotencyLedger } from '@guavaspindle/platform/ledger/idempotency-ledger';
import type {
  BorrowLimitRequest,
  BorrowLimitResponseSchema,
  CancelJobReplySchema,
  CancelJobRequest,
  DispatcherService,
  GetJobRequest,
  JobReplySchema,
  MintTicketsRequest,
  ReportSlotsRequest,
  ReturnLimitRequest,
  SubmitJobRequest,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import type { DispatchEngine } from '../dispatch-engine';
import { buildJobReply } from './build-job-reply';
import { readSubmission } from './read-submission';

type JobReply = MessageInitShape<typeof JobReplySchema>;

/** Maximum number of tickets issued per call. */
const MAX_TICKETS = 1_000;
/** Retry delay suggested to a caller whose idempotency key could not be claimed. */
const STORE_RETRY_AFTER_MS = 2_000;

/** The components that the service uses. */
interface DispatcherServerDependencies {
  readonly engine: DispatchEngine;
  readonly kernel: DispatchKernel;
  readonly ticketIssuer: TicketIssuer;
  readonly ledger: IdempotencyLedger;
  readonly clock: Clock;
  /** Stores another dispatcher's slot report. */
  readonly recordSlotReport: (report: ReportSlotsRequest) => void;
}

/**
 * Implements the RPC service of a dispatcher. Gateways request tickets and submit, query and
 * cancel jobs. Other dispatchers report the slots that they use, and borrow and return parts of
 * limits.
 */
export class DispatcherServer implements ServiceImpl<typeof DispatcherService> {
  constructor(private readonly dependencies: DispatcherServerDependencies) {}

  mintTickets(request: Pick<MintTicketsRequest, 'caller' | 'count'>): { tickets: string[] } {
    const caller = request.caller === '' ? undefined : (request.caller as CallerName);
    const count = Math.min(request.count, MAX_TICKETS);
    return {
      tickets: Array.from({ length: count }, () =>
        this.dependencies.ticketIssuer.issueTicket(caller),
      ),
    };
  }

  reportSlots(request: ReportSlotsRequest): object {
    this.dependencies.recordSlotReport(request);
    return {};
  }

  borrowLimit(request: BorrowLimitRequest): MessageInitShape<typeof BorrowLimitResponseSchema> {
    const caller = request.caller as CallerName;
    const kind = request.kind as KindName;
    const { running, perSecond } = request.wanted ?? { running: 0, perSecond: 0 };
    const grant = this.dependencies.kernel.lender.handleRequest(
      {
        caller,
        kind,
        revision: Number(request.revision),
        wanted: { running, perSecond },
        holdsNone: request.holdsNone,
        renews: request.renews === '' ? undefined : (request.renews as LoanId),
      },
      this.dependencies.clock.now(),
    );
    return grant === undefined
      ? {}
      : { loan: grant.id, amount: grant.amount, termMs: grant.termMs };
  }

  returnLimit({ loan, caller, kind }: ReturnLimitRequest): object {
    this.dependencies.kernel.lender.reclaimLoan({
      loan: loan as LoanId,
      caller: caller as CallerName,
      kind: kind as KindName,
    });
    return {};
  }

  async submitJob(request: SubmitJobRequest): Promise<JobReply> {
    return request.idempotencyKey === ''
      ? this.submitWithTicket(request, request.ticket as JobId)
      : this.submitWithKey(request);
  }

  getJob(request: GetJobRequest): JobReply {
    const found = this.findCallerJob(request.jobId as JobId, request.caller as CallerName);
    if ('problem' in found) {
      return buildJobReply(request.jobId as JobId, { type: 'problem', problem: found.problem });
    }
    return DispatcherServer.buildStateReply(found.job);
  }

  cancelJob(request: CancelJobRequest): MessageInitShape<typeof CancelJobReplySchema> {
    const found = this.findCallerJob(request.jobId as JobId, request.caller as CallerName);
    if ('problem' in found) {
      return { result: { case: 'problem', value: found.problem } };
    }
    const started = this.dependencies.engine.cancelJob(found.job);
    return { result: { case: 'cancelled', value: { started } } };
  }

  /** Claims the idempotency key before submitting. Only the job that the claim names may run. */
  private async submitWithKey(request: SubmitJobRequest): Promise<JobReply> {
    const caller = request.caller as CallerName;
    const jobId = this.dependencies.ticketIssuer.issueTicket(caller);
    const claimResult = await this.dependencies.ledger.claimKey({
      key: computeKeyDigest(caller, request.idempotencyKey),
      jobId,
      bodyHash: request.bodyHash,
      claimedAtMs: this.dependencies.clock.wall(),
    });
    switch (claimResult.type) {
      case 'claimed':
        return this.submitWithTicket(request, jobId);
      case 'taken':
        return this.submitWithTakenKey(
          request,
          claimResult.claim.jobId,
          claimResult.claim.bodyHash,
        );
      case 'refused':
        return buildJobReply(jobId, {
          type: 'problem',
          problem: buildProblem(
            'store-unavailable',
            'unknown',
            'The key could not be checked, and an earlier submission under it may have run. ' +
              'Send it again later, or use a ticket.',
            STORE_RETRY_AFTER_MS,
          ),
        });
      case 'full':
        return buildJobReply(jobId, {
          type: 'problem',
          problem: buildProblem(
            'no-capacity',
            'not-run',
            'There is no room for new idempotency keys; use a ticket.',
            STORE_RETRY_AFTER_MS,
          ),
        });
      default:
        return claimResult satisfies never;
    }
  }

  /**
   * Handles a key that an earlier submission has claimed. If this incarnation made the claim,
   * either the job is known here, or it never started because the response to the claim was lost.
   * In the latter case it starts now, under the same id.
   */
  private submitWithTakenKey(
    request: SubmitJobRequest,
    jobId: JobId,
    bodyHash: string,
  ): Promise<JobReply> | JobReply {
    if (bodyHash !== request.bodyHash) {
      const detail = 'The key was used with another body; use a new key.';
      const problem = buildProblem('body-mismatch', 'not-run', detail);
      return buildJobReply(jobId, { type: 'problem', problem });
    }
    const check = this.dependencies.ticketIssuer.checkTicket(jobId, request.caller as CallerName);
    return check.type === 'own'
      ? this.submitWithTicket(request, jobId)
      : { jobId, result: { case: 'ownedByJobId', value: jobId } };
  }

  private async submitWithTicket(request: SubmitJobRequest, jobId: JobId): Promise<JobReply> {
    const check = this.dependencies.ticketIssuer.checkTicket(jobId, request.caller as CallerName);
    if (check.type !== 'own') {
      const problem = DispatcherServer.buildTicketProblem(check);
      return buildJobReply(jobId, { type: 'problem', problem });
    }
    const submission = readSubmission(request, jobId);
    const decision = this.dependencies.engine.submitJob(submission, check.number);
    if (decision.type === 'refused') {
      return buildJobReply(jobId, { type: 'problem', problem: decision.problem });
    }
    if (!request.wait) {
      return DispatcherServer.buildStateReply(decision.job);
    }
    return buildJobReply(jobId, await this.dependencies.engine.waitForJob(decision.job));
  }

  private static buildTicketProblem(check: Exclude<TicketCheck, { type: 'own' }>): Problem {
    switch (check.type) {
      case 'foreign':
        // The owner, such as an earlier process at this address, may have run the job.
        return buildProblem(
          'owner-unreachable',
          'unknown',
          'The process that owned this submission is gone, and nobody else may start it. ' +
            'Check what was done before submitting anew.',
        );
      case 'invalid':
        return buildProblem(
          'ticket-invalid',
          'not-run',
          'The ticket is not one of this caller; ask for a new one.',
        );
      default:
        return check satisfies never;
    }
  }

  private static buildStateReply(job: Job): JobReply {
    if (job.result !== undefined) {
      return buildJobReply(job.id, job.result);
    }
    const running = job.tasks.some((task) => task.state.type !== 'waiting');
    return { jobId: job.id, result: { case: 'pending', value: { running } } };
  }

  private findCallerJob(id: JobId, caller: CallerName): { job: Job } | { problem: Problem } {
    const job = this.dependencies.kernel.findJob(id);
    if (job?.caller === caller) {
      return { job };
    }
    const check = this.dependencies.ticketIssuer.checkTicket(id, caller);
    if (check.type === 'foreign') {
      return { problem: DispatcherServer.buildTicketProblem(check) };
    }
    const isForgotten =
      check.type === 'own' && this.dependencies.kernel.hasUsedTicket(check.number);
    return {
      problem: isForgotten
        ? buildProblem('answer-forgotten', 'unknown', 'The answer is no longer kept.')
        : buildProblem(
            'unknown-job',
            'not-run',
            'No job of this caller was submitted under this id.',
          ),
    };
  }
}
