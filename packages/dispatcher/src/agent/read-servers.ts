import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { ServerInfo } from '@guavaspindle/kernel/placement/server-info';
import type { BackendServer } from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';

const NO_CAPACITY = { cores: 0, memoryMb: 0, accelerators: 0 };

/** Converts the backend servers of an agent's message to the kernel's type. */
export function readServers(servers: readonly BackendServer[]): ServerInfo[] {
  return servers.map((server) => ({
    id: server.id as ServerId,
    address: server.address,
    slots: server.slots,
    leaving: server.leaving,
    capacity: server.capacity ?? NO_CAPACITY,
  }));
}
