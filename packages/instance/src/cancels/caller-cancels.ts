import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { CancelResult } from '@guavaspindle/platform-adapter/callers/cancel-result';
import type { LeaderPort } from '../links/leader-port';
import { takeRequestNumber } from './take-request-number';

interface CallerCancelsOptions {
  /** Time within which a caller is answered, in milliseconds. */
  readonly answerTimeoutMs: number;
  findLeader(part: PartId): LeaderPort | undefined;
  /** Chooses the part whose leader is asked to cancel a job; undefined while there is none. */
  chooseCoordinator(id: JobId): PartId | undefined;
}

/** A cancellation for whose answer callers wait. */
interface PendingCancel {
  readonly isKnown: boolean;
  /** The number of the requests to the leaders. */
  readonly request: number;
  /**
   * The part to whose leader the job was submitted last; undefined if the job is not open here or the part
   * no longer exists.
   */
  jobPart: PartId | undefined;
  readonly answer: Promise<CancelResult>;
  /** The part whose leader has been asked to cancel the job everywhere. */
  coordinator: PartId | undefined;
  /** What that leader has answered. */
  coordinatorAnswer: boolean | undefined;
  /** Whether the leader of the job's part has confirmed the cancellation, if that is another one. */
  isJobPartConfirmed: boolean;
  resolve(result: CancelResult): void;
}

/**
 * The cancellations that callers have asked this instance for. One leader is asked to cancel the job
 * everywhere. It answers only what it has confirmed, so a cancellation without an answer in time is reported
 * as such and never as carried out.
 */
export class CallerCancels {
  private readonly pending = new Map<JobId, PendingCancel>();

  private isClosed = false;

  constructor(private readonly options: CallerCancelsOptions) {}

  /** Finds the result of a cancellation that callers wait for. */
  findPending(id: JobId): Promise<CancelResult> | undefined {
    return this.pending.get(id)?.answer;
  }

  /**
   * Cancels a job at the leaders.
   *
   * @param isKnown - whether this instance knows the job
   * @param jobPart - the part to whose leader this instance has submitted the job
   */
  async cancelJob(id: JobId, isKnown: boolean, jobPart: PartId | undefined): Promise<CancelResult> {
    const known = this.pending.get(id);
    if (known !== undefined) {
      return known.answer;
    }
    if (this.isClosed) {
      return 'unconfirmed';
    }
    let settle: (result: CancelResult) => void = () => {};
    const answer = new Promise<CancelResult>((resolve) => {
      settle = resolve;
    });
    const timer = setTimeout(() => this.endCancel(id, 'unconfirmed'), this.options.answerTimeoutMs);
    const cancel: PendingCancel = {
      isKnown,
      request: takeRequestNumber(),
      jobPart,
      answer,
      coordinator: undefined,
      coordinatorAnswer: undefined,
      isJobPartConfirmed: false,
      resolve(result) {
        clearTimeout(timer);
        settle(result);
      },
    };
    this.pending.set(id, cancel);
    this.askCoordinator(id, cancel);
    this.askJobPart(id, cancel);
    return answer;
  }

  /**
   * Records that the leader of a part has confirmed a cancellation.
   *
   * @param isForwarded - whether the leader speaks of its own part alone
   * @param request - the number of the request that is answered; undefined if the leader is of an earlier build
   */
  recordAnswer(
    part: PartId,
    id: JobId,
    isKnown: boolean,
    isForwarded: boolean,
    request?: number,
  ): void {
    const cancel = this.pending.get(id);
    if (cancel === undefined) {
      return;
    }
    if (request !== undefined && request !== cancel.request) {
      // It answers an earlier request and may have been given before the job was submitted.
      return;
    }
    if (part === cancel.coordinator && !isForwarded) {
      cancel.coordinatorAnswer = isKnown;
    }
    if (part === cancel.jobPart) {
      cancel.isJobPartConfirmed = true;
    }
    this.checkAnswers(id, cancel);
  }

  /** Sets the parts that exist. The leader of a new part reads what was recorded before its claim. */
  setParts(parts: ReadonlySet<PartId>): void {
    this.pending.forEach((cancel, id) => {
      if (cancel.jobPart !== undefined && !parts.has(cancel.jobPart)) {
        cancel.jobPart = undefined;
        this.checkAnswers(id, cancel);
      }
    });
  }

  /** Sends the cancellations that the leader of a part has to confirm to its new leader. */
  handleNewLeader(part: PartId): void {
    this.pending.forEach((cancel, id) => {
      if (cancel.coordinator === undefined) {
        this.askCoordinator(id, cancel);
      }
      if (cancel.jobPart === part) {
        this.askJobPart(id, cancel);
      }
    });
  }

  /** Asks other leaders for the cancellations that the lost leader of a part has not answered. */
  handleLeaderLost(part: PartId): void {
    this.pending.forEach((cancel, id) => {
      if (cancel.coordinator === part && cancel.coordinatorAnswer === undefined) {
        cancel.coordinator = undefined;
        this.askCoordinator(id, cancel);
      }
    });
  }

  /** Reports all cancellations as unconfirmed, and those that follow. */
  close(): void {
    this.isClosed = true;
    [...this.pending.keys()].forEach((id) => this.endCancel(id, 'unconfirmed'));
  }

  private checkAnswers(id: JobId, cancel: PendingCancel): void {
    const { jobPart, coordinator, coordinatorAnswer, isJobPartConfirmed, isKnown } = cancel;
    const isJobPartDone = jobPart === undefined || jobPart === coordinator || isJobPartConfirmed;
    if (coordinatorAnswer !== undefined && isJobPartDone) {
      this.endCancel(id, isKnown || coordinatorAnswer ? 'cancelled' : 'not-found');
    }
  }

  private askCoordinator(id: JobId, cancel: PendingCancel): void {
    const part = this.options.chooseCoordinator(id);
    const leader = part === undefined ? undefined : this.options.findLeader(part);
    if (leader !== undefined) {
      cancel.coordinator = part;
      const { isKnown, request } = cancel;
      leader.cancelJob(id, { isKnown, isForwarded: false, request });
    }
  }

  private askJobPart(id: JobId, cancel: PendingCancel): void {
    const { jobPart, coordinator, isJobPartConfirmed, request } = cancel;
    if (jobPart !== undefined && jobPart !== coordinator && !isJobPartConfirmed) {
      this.options
        .findLeader(jobPart)
        ?.cancelJob(id, { isKnown: true, isForwarded: true, request });
    }
  }

  private endCancel(id: JobId, result: CancelResult): void {
    const cancel = this.pending.get(id);
    this.pending.delete(id);
    cancel?.resolve(result);
  }
}
