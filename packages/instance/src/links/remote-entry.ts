import { create } from '@bufbuild/protobuf';
import type { CrashRecord } from '@guavaspindle/kernel/engine/crash-record';
import type { JobOutcome } from '@guavaspindle/kernel/engine/job-outcome';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { PartLoad } from '@guavaspindle/kernel/layout/part-load';
import {
  CancelAnswerSchema,
  DoneTaskSchema,
  EndedJobSchema,
  LeaderBatchSchema,
  MovedJobSchema,
  PartLoadSchema,
  ServerLifeSchema,
  type LeaderBatch,
} from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import { BatchQueue } from './batch-queue';
import { encodeCrash } from './encode-crash';
import { encodeOutcome } from './encode-outcome';
import type { EntryPort } from './entry-port';
import { linkTiming } from './link-timing';

/** Largest amount that a message carries. */
const MAX_AMOUNT = 4_294_967_295;

/** Rounds an amount to one that a message can carry. */
function encodeAmount(amount: number): number {
  return Math.min(MAX_AMOUNT, Math.max(0, Math.round(amount)));
}

/** The leader's side of the link from a remote entry instance. */
export class RemoteEntry implements EntryPort {
  readonly keepsDoneTasks: boolean;

  readonly batches = new BatchQueue<LeaderBatch>(() => create(LeaderBatchSchema));

  private load: PartLoad | undefined;

  /** When the last message from the entry instance arrived, in monotonic milliseconds. */
  private heardAt: number;

  /** Whether that message said that the entry instance has no open jobs here. */
  private isIdle = false;

  /** Whether the entry instance has been asked for a proof that it still uses the link. */
  private isUnproved = false;

  /** Number of proofs asked for; an answer to an earlier request was given before the last pause. */
  private proofRequests = 0;

  /** Number of the last batch that needs a receipt; 0 if there was none. */
  private sentBatch = 0;

  /** Number of the last such batch that the entry instance has taken in. */
  private receivedBatch = 0;

  private isEnded = false;

  private receiptWaiters: {
    readonly batch: number;
    readonly resolve: (isReceived: boolean) => void;
  }[] = [];

  /**
   * @param sendPing - sends a ping on the link's connection; undefined if that cannot send any
   * @param sendsReceipts - false if the entry instance does not confirm batches; they count as received once sent
   */
  constructor(
    private readonly clock: Clock,
    private readonly sendPing?: (onAnswered: () => void) => void,
    private readonly sendsReceipts = false,
  ) {
    this.heardAt = clock.now();
    this.keepsDoneTasks = sendsReceipts;
  }

  /** Records that a message from the entry instance has arrived, and whether it has no open jobs here. */
  recordMessage(isIdle: boolean): void {
    this.heardAt = this.clock.now();
    this.isIdle = isIdle;
  }

  /** Returns whether no message has arrived for so long that the link is to be closed. */
  hasTimedOut(): boolean {
    const timeoutMs = this.isIdle ? linkTiming.idleSilenceTimeoutMs : linkTiming.silenceTimeoutMs;
    return this.clock.now() - this.heardAt > timeoutMs;
  }

  requestProof(): void {
    if (this.sendPing !== undefined) {
      this.isUnproved = true;
      this.proofRequests += 1;
      const request = this.proofRequests;
      this.sendPing(() => {
        if (request === this.proofRequests) {
          this.isUnproved = false;
        }
      });
    }
  }

  isSilent(): boolean {
    const { idleSilenceTimeoutMs, startSuspensionMs } = linkTiming;
    return (
      this.isUnproved ||
      this.clock.now() - this.heardAt > (this.isIdle ? idleSilenceTimeoutMs : startSuspensionMs)
    );
  }

  /** Records the number of the last batch that the entry instance has taken in. */
  recordReceipt(batch: number): void {
    this.receivedBatch = Math.max(this.receivedBatch, batch);
    const received = this.receiptWaiters.filter((waiter) => waiter.batch <= this.receivedBatch);
    if (received.length > 0) {
      this.receiptWaiters = this.receiptWaiters.filter((waiter) => !received.includes(waiter));
      received.forEach(({ resolve }) => resolve(true));
    }
  }

  async waitForReceipt(): Promise<boolean> {
    const { sentBatch: batch } = this;
    if (this.isEnded || !this.sendsReceipts || batch <= this.receivedBatch) {
      return !this.isEnded;
    }
    return new Promise((resolve) => {
      this.receiptWaiters.push({ batch, resolve });
    });
  }

  endJob(id: JobId, outcome: JobOutcome): void {
    this.addReport((batch) => {
      batch.ended.push(create(EndedJobSchema, { id, outcome: encodeOutcome(outcome) }));
    });
  }

  moveJob(id: JobId, part: PartId, wasMovedBefore: boolean): void {
    this.batches.addToBatch((batch) => {
      batch.moved.push(create(MovedJobSchema, { id, part, wasMovedBefore }));
    });
  }

  /** Reports the load with the next answer to a ping. */
  reportLoad(load: PartLoad): void {
    this.load = load;
  }

  reportDone(id: JobId, task: TaskId): void {
    this.addReport((batch) => {
      batch.done.push(create(DoneTaskSchema, { jobId: id, task }));
    });
  }

  reportCrash(record: CrashRecord): void {
    this.batches.addToBatch((batch) => {
      batch.crashes.push(encodeCrash(record));
    });
  }

  reportLife(
    serverId: ServerId,
    startedAtMs: number | undefined,
    clearedTasks: readonly TaskId[],
  ): void {
    this.batches.addToBatch((batch) => {
      batch.lives.push(
        create(ServerLifeSchema, {
          server: serverId,
          startedAtMs,
          clearedTasks: [...clearedTasks],
        }),
      );
    });
  }

  reportHiddenRun(id: JobId): void {
    this.batches.addToBatch((batch) => {
      batch.hiddenJobs.push(id);
    });
  }

  reportSettledServers(ids: readonly ServerId[]): void {
    this.batches.addToBatch((batch) => {
      batch.settledServers.push(...ids);
    });
  }

  answerCancel(id: JobId, isKnown: boolean, isForwarded: boolean, request?: number): void {
    this.batches.addToBatch((batch) => {
      batch.cancelAnswers.push(create(CancelAnswerSchema, { id, isKnown, isForwarded, request }));
    });
  }

  reportCancels(ids: readonly JobId[]): void {
    this.batches.addToBatch((batch) => {
      batch.cancelledJobs.push(...ids);
    });
  }

  reportPending(pending: ReadonlyMap<string, number>): void {
    this.batches.addToBatch((batch) => {
      pending.forEach((count, queue) => {
        batch.pending[queue] = count;
      });
    });
  }

  reportLeaving(successor: InstanceName | undefined): void {
    this.batches.addToBatch((batch) => {
      batch.isLeaving = true;
      batch.successor = successor ?? '';
    });
  }

  reportUnstarted(ids: readonly JobId[]): void {
    this.batches.addToBatch((batch) => {
      batch.unstartedJobs.push(...ids);
    });
  }

  endLink(): void {
    this.batches.close();
    this.isEnded = true;
    this.receiptWaiters.splice(0).forEach(({ resolve }) => resolve(false));
  }

  /** Sends a batch that shows that this instance is alive and still leads; with the load, if reported. */
  answerPing(): void {
    const { load } = this;
    this.load = undefined;
    this.batches.addToBatch((batch) => {
      if (load !== undefined) {
        batch.load = create(PartLoadSchema, {
          spareCpuMilli: encodeAmount(load.spareCpuMilli),
          loopLagMs: encodeAmount(load.loopLagMs),
        });
      }
    });
  }

  /** Adds to the next batch what the entry instance is to confirm. */
  private addReport(change: (batch: LeaderBatch) => void): void {
    this.batches.addToBatch((batch) => {
      if (this.sendsReceipts && batch.number === 0) {
        this.sentBatch += 1;
        batch.number = this.sentBatch;
      }
      change(batch);
    });
  }
}
