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

/** Holds the waiting tasks of all flows and decides which goes next. */
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

  /** Applies a table's weights and limits to every flow. Flows without a row stop starting. */
  adoptTable(table: OperatorsTable): void {
    this.flows.forEach((flow) => {
      this.applyRow(flow, findRow(table, flow.caller, flow.kind, this.domain));
    });
  }

  /** Finds the flow of a caller and kind, making it when it is new. */
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

  /** All flows that have had work or lent a part of their limits. */
  listFlows(): Iterable<Flow> {
    return this.flows.values();
  }

  /** Puts all tasks of an accepted job into its flow's queue. */
  addJob(flow: Flow, job: Job): void {
    if (flow.waiting === 0) {
      this.policy.activateFlow(flow);
    }
    job.orderKey = this.policy.computeOrderKey(job);
    this.longTaskCap.recordJob(job);
    this.changeWaiting(flow, job.tasks.length, job.waitingWorkMs);
    flow.pushJob(job);
  }

  /** Takes the waiting tasks of an ended job out of the counts; its heap entries go later. */
  dropJob(job: Job): void {
    const flow = this.flows.get(`${job.caller}\n${job.kind}`);
    if (flow !== undefined) {
      const waiting = job.waitingShort.length + job.waitingLong.length;
      this.changeWaiting(flow, -waiting, -job.waitingWorkMs);
    }
    job.waitingShort.splice(0);
    job.waitingLong.splice(0);
    job.waitingWorkMs = 0;
  }

  /**
   * Chooses the next task without taking it.
   *
   * @param slots - slots that this dispatcher may fill in all
   * @param skipped - flows whose first task found no server in this round
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

  /** Takes a picked task out of its queue and charges its flow. */
  dequeueTask(pick: TaskPick, nowMs: number): void {
    const { flow, job, task, runClass } = pick;
    Scheduler.listWaiting(job, runClass).pop();
    job.waitingWorkMs -= task.estimateMs;
    this.changeWaiting(flow, -1, -task.estimateMs);
    flow.recordStart(nowMs);
    this.longRunning += runClass === 'long' ? 1 : 0;
    this.policy.chargeStart(flow, task.estimateMs);
  }

  /** Puts a task that did not run back at the head of its job. */
  requeueTask(flow: Flow, job: Job, task: Task, runClass: RunClass): void {
    Scheduler.listWaiting(job, runClass).push(task.index);
    job.waitingWorkMs += task.estimateMs;
    this.changeWaiting(flow, 1, task.estimateMs);
    flow.pushJob(job);
  }

  /** Gives back what a start held, and corrects the flow's charge to the true run time. */
  releaseTask(flow: Flow, runClass: RunClass, estimateMs: number, ranMs: number): void {
    flow.running -= 1;
    this.longRunning -= runClass === 'long' ? 1 : 0;
    this.policy.correctCharge(flow, estimateMs, ranMs);
  }

  /** Counts a running task as long from now on. */
  recordOverrun(): void {
    this.longRunning += 1;
  }

  /** Tasks waiting over all flows. */
  countWaiting(): number {
    let sum = 0;
    this.flows.forEach((flow) => {
      sum += flow.waiting;
    });
    return sum;
  }

  /** Estimated work waiting over all flows, in milliseconds of slot time. */
  computeBacklogMs(): number {
    return Math.max(0, this.waitingWorkMs);
  }

  /**
   * Predicts when new work of a flow would have ended, in milliseconds from now: what waits before
   * it, what runs now, and the work itself.
   *
   * @param workMs - the sum of the new tasks' run times
   * @param longestMs - the longest of them
   */
  predictEndMs(flow: Flow, slots: number, workMs: number, longestMs: number): number {
    const active = [...this.flows.values()].filter((other) => other.waiting > 0 || other === flow);
    const weights = active.reduce((sum, other) => sum + other.weight, 0);
    const flowSlots = (slots * flow.weight) / weights;
    const aheadMs = Math.min(this.waitingWorkMs / slots, flow.waitingWorkMs / flowSlots);
    const ownMs = Math.max(longestMs, workMs / flowSlots);
    // On average, half of what runs now is still to run.
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
    return runClass === 'short' ? job.waitingShort : job.waitingLong;
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
