import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { CarrierPort } from './carrier-port';

/** The entry instances that carry orders, and the servers that each of them has. */
export class CarrierDirectory {
  /** Servers of each carrier. */
  private readonly loads = new Map<CarrierPort, number>();

  private readonly assigned = new Map<ServerId, CarrierPort>();

  /** Adds a carrier; servers are assigned anew when they are next used. */
  addCarrier(carrier: CarrierPort): void {
    this.loads.set(carrier, 0);
    this.clearAssignments();
  }

  /** Removes a carrier. */
  dropCarrier(carrier: CarrierPort): void {
    if (this.loads.delete(carrier)) {
      this.clearAssignments();
    }
  }

  /** The carrier of a server's orders: one of the server's domain if there is any. */
  findCarrier(report: ServerReport): CarrierPort | undefined {
    const known = this.assigned.get(report.id);
    if (known !== undefined) {
      return known.isSilent() ? undefined : known;
    }
    const chosen = this.chooseCarrier(report);
    if (chosen !== undefined) {
      this.assigned.set(report.id, chosen);
      this.loads.set(chosen, this.loads.get(chosen)! + 1);
    }
    return chosen;
  }

  private chooseCarrier({ domain }: ServerReport): CarrierPort | undefined {
    const all = [...this.loads.keys()].filter((carrier) => !carrier.isSilent());
    const nearby = all.filter((carrier) => carrier.domain === domain);
    return (nearby.length > 0 ? nearby : all).reduce<CarrierPort | undefined>(
      (best, carrier) =>
        best === undefined || this.loads.get(carrier)! < this.loads.get(best)! ? carrier : best,
      undefined,
    );
  }

  private clearAssignments(): void {
    this.assigned.clear();
    this.loads.forEach((_load, carrier) => this.loads.set(carrier, 0));
  }
}
