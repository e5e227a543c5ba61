import type { DomainName } from '../ids/domain-name';
import type { QueueName } from '../ids/queue-name';
import type { JobGroup } from './job-group';
import { ShareWindow } from './share-window';
import type { SizeClass } from './size-class';

/**
 * Large jobs must be served at least half as often as their queue. They count as lagging from somewhat
 * above that, so that the bound itself is kept.
 */
const MIN_SIZE_CLASS_RATIO = 0.6;
/**
 * Weight of the lag of a size class against that of a queue. With a weight of 1, the largest tenth of a queue
 * was served 0.40 times as often as the queue on the load of 95% with returning callers.
 */
const SIZE_LAG_WEIGHT = 5;
/** How long the lag of a group is kept before it is computed again. */
const LAG_REFRESH_MS = 20;
const ALL_JOBS = 'all';

/**
 * Measures, for the jobs of one service, which queues, caller domains and size classes are served less than
 * the others.
 */
export class FairShares {
  private readonly shares = new ShareWindow();

  private readonly groups = new Map<string, JobGroup>();

  /** Returns the group of a job. */
  getGroup(queue: QueueName, callerDomain: DomainName | undefined, sizeClass: SizeClass): JobGroup {
    const key = `${queue} ${callerDomain ?? ''} ${sizeClass}`;
    const known = this.groups.get(key);
    if (known !== undefined) {
      return known;
    }
    const group = { queue, callerDomain, sizeClass, lag: 0, lagComputedAtMs: -Infinity };
    this.groups.set(key, group);
    return group;
  }

  /** Records that a job was started or, with `isServed` false, refused. */
  recordDecision(group: JobGroup, work: number, isServed: boolean, nowMs: number): void {
    const { queue, callerDomain, sizeClass } = group;
    this.shares.recordDecision(ALL_JOBS, work, isServed, nowMs);
    this.shares.recordDecision(`queue ${queue}`, 1, isServed, nowMs);
    this.shares.recordDecision(`size ${queue} ${sizeClass}`, 1, isServed, nowMs);
    if (callerDomain !== undefined) {
      this.shares.recordDecision(`domain ${callerDomain}`, work, isServed, nowMs);
    }
  }

  /** Computes by how much a group falls below its share, between 0 and 1. */
  computeLag(group: JobGroup, nowMs: number): number {
    if (nowMs - group.lagComputedAtMs >= LAG_REFRESH_MS) {
      const { queue, callerDomain, sizeClass } = group;
      const all = this.shares.computeShare(ALL_JOBS, nowMs);
      const ofQueue = this.shares.computeShare(`queue ${queue}`, nowMs);
      const ofDomain =
        callerDomain === undefined
          ? all
          : this.shares.computeShare(`domain ${callerDomain}`, nowMs);
      const ofSizeClass =
        sizeClass === 'rest'
          ? ofQueue
          : this.shares.computeShare(`size ${queue} ${sizeClass}`, nowMs);
      group.lag =
        Math.max(0, all - ofQueue, all - ofDomain) +
        SIZE_LAG_WEIGHT * Math.max(0, MIN_SIZE_CLASS_RATIO * ofQueue - ofSizeClass);
      group.lagComputedAtMs = nowMs;
    }
    return group.lag;
  }
}
