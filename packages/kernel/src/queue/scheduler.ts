import type { CallerName } from '../ids/caller-name';
import type { DomainName } from '../ids/domain-name';
import type { KindName } from '../ids/kind-name';
import { divideLimit } from '../limits/divide-limit';
import type { LimitShare } from '../limits/limit-share';
import type { Job } from '../submission/job';
import type { Task } from '../submission/task';
import { findRow } from '../table/find-row';
import type { OperatorsTable } from '../table/operators-table';
import type { TableRow } from '../table/table-row';
import { minLeaseMs } from '../submission/min-lease-ms';
import { Flow } from './flow';
import { LongTaskCap } from './long-task-cap';
import type { QueuePolicy } from './queue-policy';
import type { RunClass } from './run-class';
import type { TaskPick } from './task-pick';

/** Holds the waiting tasks of all flows and decides which task starts next. */
export class Scheduler {
  private readonly flows = new Map<string, Flow>();

  private longRunning = 0;

  private readonly longTaskCap = new LongTaskCap();

  private waitingWorkMs = 0;

  constructor(
    private readonly policy: QueuePolicy,
    private readonly domain: DomainName,
    private readonly share: LimitShare,
  ) {}

  /** Applies a table's weights and limits to every flow. Flows without a row start no more tasks. */
  adoptTable(table: OperatorsTable): void {
    this.flows.forEach((flow) => {
      this.applyRow(flow, findRow(table, flow.caller, flow.kind, this.domain));
    });
  }

  /** Returns the flow of a caller and kind, and creates it from the row if it does not exist. */
  getFlow(caller: CallerName, kind: KindName, row: TableRow): Flow {
    const key = `${caller}\n${kind}`;
    let flow = this.flows.get(key);
    if (flow === undefined) {
      flow = new Flow(caller, kind);
      this.applyRow(flow, row);
      this.flows.set(key, flow);
    }
    return flow;
  }

  /** Lists all flows: those that have received a submission or a loan request. */
  listFlows(): Iterable<Flow> {
    return this.flows.values();
  }

  /** Queues all tasks of an accepted job. */
  addJob(flow: Flow, job: Job): void {
    if (flow.waiting === 0) {
      this.policy.activateFlow(flow);
    }
    job.orderKey = this.policy.computeOrderKey(job);
    this.longTaskCap.recordJob(job);
    this.changeWaiting(flow, job.tasks.length, job.waitingWorkMs);
    flow.pushJob(job);
  }

  /** Removes the waiting tasks of an ended job. `Flow.peekJob` removes its heap entries later. */
  dropJob(job: Job): void {
    const flow = this.flows.get(`${job.caller}\n${job.kind}`);
    if (flow !== undefined) {
      const waiting = job.waitingShortIndices.length + job.waitingLongIndices.length;
      this.changeWaiting(flow, -waiting, -job.waitingWorkMs);
    }
    job.waitingShortIndices.splice(0);
    job.waitingLongIndices.splice(0);
    job.waitingWorkMs = 0;
  }

  /**
   * Chooses the next task without removing it from its queue.
   *
   * @param slots - total number of slots that this dispatcher may use
   * @param skipped - flows to ignore because no server can take their next task now
   */
  pickTask(nowMs: number, slots: number, skipped: ReadonlySet<Flow>): TaskPick | undefined {
    const allowed = this.listAllowedClasses(slots, nowMs);
    const ready = [...this.flows.values()].filter(
      (flow) =>
        !skipped.has(flow) &&
        flow.canStart(nowMs) &&
        allowed.some((runClass) => flow.peekJob(runClass) !== undefined),
    );
    if (ready.length === 0) {
      return undefined;
    }
    const flow = this.policy.chooseFlow(ready, allowed);
    return Scheduler.pickFromFlow(flow, allowed);
  }

  /** Removes a picked task from its queue and charges its flow. */
  dequeueTask(pick: TaskPick, nowMs: number): void {
    const { flow, job, task, runClass } = pick;
    Scheduler.listWaiting(job, runClass).pop();
    job.waitingWorkMs -= task.estimateMs;
    this.changeWaiting(flow, -1, -task.estimateMs);
    flow.recordStart(nowMs);
    this.longRunning += runClass === 'long' ? 1 : 0;
    this.policy.chargeStart(flow, task.estimateMs);
  }

  /** Puts a task back at the head of its job's queue. */
  requeueTask(flow: Flow, job: Job, task: Task, runClass: RunClass): void {
    Scheduler.listWaiting(job, runClass).push(task.index);
    job.waitingWorkMs += task.estimateMs;
    this.changeWaiting(flow, 1, task.estimateMs);
    flow.pushJob(job);
  }

  /** Releases what a started task occupied, and corrects its flow's charge to the actual run time. */
  releaseTask(flow: Flow, runClass: RunClass, estimateMs: number, ranMs: number): void {
    flow.running -= 1;
    this.longRunning -= runClass === 'long' ? 1 : 0;
    this.policy.correctCharge(flow, estimateMs, ranMs);
  }

  /**
   * From now on, counts a task that was started in the short class among the running long tasks.
   */
  recordOverrun(): void {
    this.longRunning += 1;
  }

  /** Counts the waiting tasks of all flows. */
  countWaiting(): number {
    let sum = 0;
    this.flows.forEach((flow) => {
      sum += flow.waiting;
    });
    return sum;
  }

  /** Computes the estimated run time of all waiting tasks, in milliseconds of slot time. */
  computeBacklogMs(): number {
    return Math.max(0, this.waitingWorkMs);
  }

  /**
   * Predicts when new work of a flow would end, in milliseconds from now. Adds up the time for the
   * work queued ahead, an assumed time for the running tasks, and the time for the new work itself.
   *
   * @param workMs - sum of the estimated run times of the new tasks
   * @param longestMs - longest estimated run time of the new tasks
   */
  predictEndMs(flow: Flow, slots: number, workMs: number, longestMs: number): number {
    const active = [...this.flows.values()].filter((other) => other.waiting > 0 || other === flow);
    const weights = active.reduce((sum, other) => sum + other.weight, 0);
    const flowSlots = (slots * flow.weight) / weights;
    const aheadMs = Math.min(this.waitingWorkMs / slots, flow.waitingWorkMs / flowSlots);
    const ownMs = Math.max(longestMs, workMs / flowSlots);
    // Assumes that running tasks are as long as the longest new task and half done.
    return aheadMs + longestMs / 2 + ownMs;
  }

  private static pickFromFlow(flow: Flow, allowed: readonly RunClass[]): TaskPick {
    const candidates = allowed
      .map((runClass) => ({ runClass, job: flow.peekJob(runClass) }))
      .filter((candidate): candidate is { runClass: RunClass; job: Job } => Boolean(candidate.job));
    const first = candidates.reduce((best, next) =>
      next.job.orderKey < best.job.orderKey ? next : best,
    );
    const waiting = Scheduler.listWaiting(first.job, first.runClass);
    const task = first.job.tasks[waiting[waiting.length - 1]!]!;
    return { flow, job: first.job, task, runClass: first.runClass };
  }

  private static listWaiting(job: Job, runClass: RunClass): number[] {
    return runClass === 'short' ? job.waitingShortIndices : job.waitingLongIndices;
  }

  private listAllowedClasses(slots: number, nowMs: number): readonly RunClass[] {
    const allowsLong =
      !this.policy.separatesLongTasks ||
      this.longRunning < this.longTaskCap.computeMaxLongTasks(slots, nowMs);
    return allowsLong ? ['short', 'long'] : ['short'];
  }

  private changeWaiting(flow: Flow, tasks: number, workMs: number): void {
    flow.waiting += tasks;
    flow.waitingWorkMs += workMs;
    this.waitingWorkMs += workMs;
  }

  private applyRow(flow: Flow, row: TableRow | undefined): void {
    const { index, count } = this.share;
    const running = row?.maxRunning ?? 0;
    const perSecond = row?.startsPerSecond ?? 0;
    flow.weight = row?.weight ?? 1;
    flow.limit = { running, perSecond };
    flow.maxLeaseMs = Math.max(minLeaseMs, row?.deadlineMs ?? 0);
    flow.allocation.setFixedShare({
      running: divideLimit(running, index, count),
      perSecond: perSecond / count,
    });
    flow.maxWaiting = divideLimit(row?.maxQueued ?? 0, index, count);
  }
}
