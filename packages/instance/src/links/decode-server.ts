import type { NetworkAddress } from '@guavaspindle/kernel/address/network-address';
import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { ServiceName } from '@guavaspindle/kernel/ids/service-name';
import type { KnownServer } from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';

/** Decodes a server that has no entry in the store. It is draining: nothing more starts there. */
export function decodeServer(server: KnownServer): ServerReport {
  return {
    id: server.id as ServerId,
    service: server.service as ServiceName,
    domain: server.domain as DomainName,
    address: server.address as NetworkAddress,
    bornMs: 0,
    capacity: { cpuMilli: server.cpuMilli, memoryMb: server.memoryMb, gpus: server.gpus },
    labels: [],
    isDraining: true,
  };
}
