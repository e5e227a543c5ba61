import type Logger from 'bunyan';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { PoolLayout } from '@guavaspindle/kernel/layout/pool-layout';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import { computeLayout } from '@guavaspindle/kernel/layout/compute-layout';
import type { RegisteredInstance } from '../registry/registered-instance';

/** A layout is written once the fleet has called for the same one for this long, in milliseconds. */
const STABLE_MS = 1_500;

/** Describes how many parts each failure domain has. */
function describeLayout(layout: PoolLayout): string {
  return JSON.stringify([...layout].map(([domain, boundaries]) => [domain, boundaries.length + 1]));
}

interface LayoutPlannerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  findLayout(): PoolLayout;
  listServers(): ReadonlyMap<DomainName, readonly ServerId[]>;
  /** Lists the known instances. */
  listInstances(): readonly Pick<RegisteredInstance, 'domain' | 'cores'>[];
  /** Returns whether this instance is the one that may write the layout now. */
  isWriter(layout: PoolLayout): boolean;
  writeLayout(layout: PoolLayout): Promise<void>;
}

/** Divides the fleet anew when it has outgrown the present layout. */
export class LayoutPlanner {
  private planned = '';

  private plannedSinceMs = 0;

  /**
   * Processor capacity of the strongest instance ever seen in each failure domain, in cores: one that
   * restarts comes back, and a division for its absence would stay.
   */
  private readonly coresByDomain = new Map<DomainName, number>();

  constructor(private readonly options: LayoutPlannerOptions) {}

  /** Writes a new layout if the fleet has called for it long enough; call it regularly. */
  async check(): Promise<void> {
    const { clock, log, findLayout, listServers, listInstances, isWriter, writeLayout } =
      this.options;
    listInstances().forEach(({ domain, cores }) => {
      this.coresByDomain.set(domain, Math.max(cores, this.coresByDomain.get(domain) ?? 0));
    });
    const current = findLayout();
    const next = computeLayout(listServers(), current, this.coresByDomain);
    const nowMs = clock.now();
    // The boundaries follow each server that comes or goes; what has to be stable is the number of parts.
    const planned = describeLayout(next);
    if (planned !== this.planned || planned === describeLayout(current) || !isWriter(current)) {
      this.planned = planned;
      this.plannedSinceMs = nowMs;
    } else if (nowMs - this.plannedSinceMs >= STABLE_MS) {
      this.plannedSinceMs = nowMs;
      log.warn({ parts: planned }, 'dividing the backend servers anew');
      await writeLayout(next);
    }
  }
}
