import { create } from '@bufbuild/protobuf';
import type { JobOutcome } from '@guavaspindle/kernel/engine/job-outcome';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { PartLoad } from '@guavaspindle/kernel/layout/part-load';
import {
  CancelAnswerSchema,
  DoneTaskSchema,
  EndedJobSchema,
  LeaderBatchSchema,
  MovedJobSchema,
  PartLoadSchema,
  type LeaderBatch,
} from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import { BatchQueue } from './batch-queue';
import { encodeOutcome } from './encode-outcome';
import type { EntryPort } from './entry-port';
import { linkTiming } from './link-timing';

/** The leader's side of the link from a remote entry instance. */
export class RemoteEntry implements EntryPort {
  readonly batches = new BatchQueue<LeaderBatch>(() => create(LeaderBatchSchema));

  /** When the last message from the entry instance arrived, in monotonic milliseconds. */
  private heardAt: number;

  constructor(private readonly clock: Clock) {
    this.heardAt = clock.now();
  }

  get heardAtMs(): number {
    return this.heardAt;
  }

  /** Records that a message from the entry instance has arrived. */
  recordMessage(): void {
    this.heardAt = this.clock.now();
  }

  isSilent(): boolean {
    return this.clock.now() - this.heardAt > linkTiming.startSuspensionMs;
  }

  endJob(id: JobId, outcome: JobOutcome): void {
    this.batches.addToBatch((batch) => {
      batch.ended.push(create(EndedJobSchema, { id, outcome: encodeOutcome(outcome) }));
    });
  }

  moveJob(id: JobId, part: PartId, wasMovedBefore: boolean): void {
    this.batches.addToBatch((batch) => {
      batch.moved.push(create(MovedJobSchema, { id, part, wasMovedBefore }));
    });
  }

  reportLoad({ spareCpuMilli, loopLagMs }: PartLoad): void {
    this.batches.addToBatch((batch) => {
      batch.load = create(PartLoadSchema, {
        spareCpuMilli: Math.max(0, Math.round(spareCpuMilli)),
        loopLagMs: Math.max(0, Math.round(loopLagMs)),
      });
    });
  }

  reportDone(id: JobId, task: TaskId): void {
    this.batches.addToBatch((batch) => {
      batch.done.push(create(DoneTaskSchema, { jobId: id, task }));
    });
  }

  answerCancel(id: JobId, isKnown: boolean): void {
    this.batches.addToBatch((batch) => {
      batch.cancelAnswers.push(create(CancelAnswerSchema, { id, isKnown }));
    });
  }

  reportPending(pending: ReadonlyMap<string, number>): void {
    this.batches.addToBatch((batch) => {
      pending.forEach((count, queue) => {
        batch.pending[queue] = count;
      });
    });
  }

  reportLeaving(): void {
    this.batches.addToBatch((batch) => {
      batch.isLeaving = true;
    });
  }

  endLink(): void {
    this.batches.close();
  }

  /** Sends an empty batch, which shows that this instance is alive and still leads. */
  sendPing(): void {
    this.batches.addToBatch(() => {});
  }
}
