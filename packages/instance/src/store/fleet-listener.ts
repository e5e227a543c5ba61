import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';

/** Takes in changes of the backend servers. */
export interface FleetListener {
  adoptServer(report: ServerReport): void;
  /** The server's entry is gone: no new work for it. */
  dropServer(id: ServerId): void;
}
