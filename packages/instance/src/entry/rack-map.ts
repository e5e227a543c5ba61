import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import { isServerInPart } from '@guavaspindle/kernel/layout/is-server-in-part';
import type { PoolPart } from '@guavaspindle/kernel/layout/pool-part';
import type { FleetListener } from '../store/fleet-listener';

/**
 * Counts the servers of each rack by part. Draining servers count, so that the count follows the entries in
 * the store, which all instances mirror, and changes seldom.
 */
export class RackMap implements FleetListener {
  private readonly servers = new Map<ServerId, ServerReport>();

  private readonly counts = new Map<string, number>();

  adoptServer(report: ServerReport): void {
    const known = this.servers.get(report.id);
    this.servers.set(report.id, report);
    if (known?.rack !== report.rack || known?.domain !== report.domain) {
      this.counts.clear();
    }
  }

  dropServer(id: ServerId): void {
    if (this.servers.delete(id)) {
      this.counts.clear();
    }
  }

  /** Counts the servers of a rack that belong to a part. */
  countServers(part: PoolPart, rack: string): number {
    const key = `${part.id}/${rack}`;
    const known = this.counts.get(key);
    if (known !== undefined) {
      return known;
    }
    let count = 0;
    this.servers.forEach((report) => {
      if (report.rack === rack && isServerInPart(part, report)) {
        count += 1;
      }
    });
    this.counts.set(key, count);
    return count;
  }
}
