import { create } from '@bufbuild/protobuf';
import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import {
  KnownServerSchema,
  type KnownServer,
} from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';

/** Encodes what another leader needs to call a server that has no entry in the store. */
export function encodeServer({
  id,
  service,
  domain,
  address,
  capacity,
}: ServerReport): KnownServer {
  return create(KnownServerSchema, {
    id,
    service,
    domain,
    address,
    cpuMilli: capacity.cpuMilli,
    memoryMb: capacity.memoryMb,
    gpus: capacity.gpus,
  });
}
