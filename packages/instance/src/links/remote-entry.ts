import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { JobOutcome } from '@guavaspindle/kernel/engine/job-outcome';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import {
  CancelAnswerSchema,
  DoneTaskSchema,
  EndedJobSchema,
  LeaderBatchSchema,
  ServerOrderSchema,
  type LeaderBatch,
  type ServerAnswer,
} from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { CarrierPort } from '../carriers/carrier-port';
import { BatchQueue } from './batch-queue';
import { encodeOutcome } from './encode-outcome';
import type { EntryPort } from './entry-port';
import { linkTiming } from './link-timing';

/** An entry instance at the other end of a link, as the leader sees it. */
export class RemoteEntry implements EntryPort, CarrierPort {
  readonly carrier = this;

  readonly batches = new BatchQueue<LeaderBatch>(() => create(LeaderBatchSchema));

  /** When the instance was last heard, monotonic milliseconds. */
  private heardAt: number;

  /** Orders that wait for their answers, by number. */
  private readonly calls = new Map<number, (answer: ServerAnswer | undefined) => void>();

  private lastCall = 0;

  private isOver = false;

  constructor(
    readonly domain: DomainName,
    private readonly clock: Clock,
  ) {
    this.heardAt = clock.now();
  }

  get heardAtMs(): number {
    return this.heardAt;
  }

  /** Notes that a message of the instance has come. */
  recordHeard(): void {
    this.heardAt = this.clock.now();
  }

  isSilent(): boolean {
    return this.clock.now() - this.heardAt > linkTiming.quietMs;
  }

  endJob(id: JobId, outcome: JobOutcome): void {
    this.batches.addToBatch((batch) => {
      batch.ended.push(create(EndedJobSchema, { id, outcome: encodeOutcome(outcome) }));
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
    this.isOver = true;
    this.batches.close();
    this.calls.forEach((settle) => settle(undefined));
    this.calls.clear();
  }

  async sendOrder(
    order: MessageInitShape<typeof ServerOrderSchema>,
    timeoutMs: number,
  ): Promise<ServerAnswer | undefined> {
    if (this.isOver) {
      return undefined;
    }
    this.lastCall += 1;
    const call = this.lastCall;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        // An answer that came while the loop was busy is read before the call is given up.
        setImmediate(() => this.settleCall(call, undefined));
      }, timeoutMs);
      this.calls.set(call, (answer) => {
        clearTimeout(timer);
        resolve(answer);
      });
      this.batches.addToBatch((batch) => {
        batch.orders.push(create(ServerOrderSchema, { ...order, call }));
      });
    });
  }

  /** Takes in a server's answer. */
  recordAnswer(answer: ServerAnswer): void {
    this.settleCall(answer.call, answer);
  }

  /** Tells the entry instance that this one leads and is alive. */
  sendPing(): void {
    this.batches.addToBatch(() => {});
  }

  private settleCall(call: number, answer: ServerAnswer | undefined): void {
    const settle = this.calls.get(call);
    this.calls.delete(call);
    settle?.(answer);
  }
}
