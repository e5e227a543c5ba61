import type { EngineServer } from './engine-server';

/**
 * A run that has exceeded its expected duration is expected to go on for this share of the time that it
 * has taken: the longer it runs, the likelier it is a long task.
 */
const OVERDUE_SHARE = 0.5;

/** A change of the free CPU capacity at a time. */
interface CapacityChange {
  readonly atMs: number;
  readonly cpuMilli: number;
}

/**
 * When CPU capacity of one server is expected to become free, less the capacity that tasks ranked
 * higher wait for. Valid for one scheduling pass.
 */
export class CapacityPlan {
  /** Sorted by time. */
  private readonly changes: CapacityChange[] = [];

  private readonly freeCpuMilli: number;

  constructor(
    server: EngineServer,
    private readonly nowMs: number,
  ) {
    this.freeCpuMilli = server.freeCpuMilli;
    server.runs.forEach(({ startedAtMs, expectedMs, demand }) => {
      const elapsedMs = nowMs - startedAtMs;
      const remainingMs =
        elapsedMs < expectedMs ? expectedMs - elapsedMs : elapsedMs * OVERDUE_SHARE;
      this.addChange(nowMs + remainingMs, demand.cpuMilli);
    });
  }

  /** Finds the time from which a run of this length has its capacity throughout. */
  findStartMs(cpuMilli: number, runMs: number): number {
    let startMs = this.nowMs;
    let free = this.freeCpuMilli;
    let isFree = free >= cpuMilli;
    for (const change of this.changes) {
      if (isFree && change.atMs >= startMs + runMs) {
        break;
      }
      free += change.cpuMilli;
      if (free < cpuMilli) {
        isFree = false;
      } else if (!isFree) {
        isFree = true;
        startMs = Math.max(this.nowMs, change.atMs);
      }
    }
    return isFree ? startMs : Infinity;
  }

  /** Reserves capacity for a task that is to run here for a time. */
  holdCapacity(startMs: number, runMs: number, cpuMilli: number): void {
    this.addChange(startMs, -cpuMilli);
    this.addChange(startMs + runMs, cpuMilli);
  }

  private addChange(atMs: number, cpuMilli: number): void {
    let position = this.changes.length;
    while (position > 0 && this.changes[position - 1]!.atMs > atMs) {
      position -= 1;
    }
    this.changes.splice(position, 0, { atMs, cpuMilli });
  }
}
