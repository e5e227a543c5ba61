import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';

/** Receives changes of the backend servers. */
export interface FleetListener {
  /** @param registeredRevision - store revision at which the server's entry was created */
  adoptServer(report: ServerReport, registeredRevision: number): void;
  /** The server's entry has been removed from the store: it gets no new work. */
  dropServer(id: ServerId): void;
}
