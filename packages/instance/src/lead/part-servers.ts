import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { PoolPart } from '@guavaspindle/kernel/layout/pool-part';
import type { EntryJobs } from '../entry/entry-jobs';
import { computeServerDigest } from '../links/compute-server-digest';
import type { ServerExchange } from '../links/server-exchange';
import type { FleetMemory } from '../store/fleet-memory';

/** The servers that leaders of one part may have runs on, as far as this instance knows. */
export class PartServers implements ServerExchange {
  constructor(
    private readonly part: PoolPart,
    private readonly memory: FleetMemory,
    private readonly entry: Pick<EntryJobs, 'hasJobsAt' | 'recordHiddenRuns'>,
  ) {}

  computeDigest(): string {
    this.memory.beginTerm(this.part);
    if (!this.entry.hasJobsAt(this.part.id)) {
      // Whoever has jobs that may run on such servers tells the leader.
      this.memory.forgetUnlistedServers(this.part);
    }
    return computeServerDigest(this.memory.listServers(this.part));
  }

  exchangeServers(servers: readonly ServerReport[]): readonly ServerReport[] {
    const known = new Set(servers.map(({ id }) => id));
    this.memory.beginTerm(this.part);
    this.memory.mergeServers(servers);
    if (this.memory.hasMovedServers(this.part)) {
      this.entry.recordHiddenRuns(this.part.id);
    }
    return this.memory.listServers(this.part).filter(({ id }) => !known.has(id));
  }
}
