import {
  create,
  fromBinary,
  toBinary,
  type DescMessage,
  type MessageInitShape,
  type MessageShape,
} from '@bufbuild/protobuf';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import {
  ServerAnswerSchema,
  ServerOrderSchema,
  type ServerAnswer,
} from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';
import type { CarrierPort } from '../carriers/carrier-port';
import { sendCarriedOrder } from '../carriers/send-carried-order';
import { InMemoryServer } from './in-memory-server';

/** Passes a message through its form on the wire. */
function encodeAndDecode<Schema extends DescMessage>(
  schema: Schema,
  message: MessageShape<Schema>,
): MessageShape<Schema> {
  return fromBinary(schema, toBinary(schema, message));
}

/** Carries orders to servers in memory, through the codec of the links. */
export class RehearsalCarrier implements CarrierPort {
  readonly domain = 'warm-up' as DomainName;

  private readonly servers = new Map<string, InMemoryServer>();

  // It is never out of reach.
  // eslint-disable-next-line class-methods-use-this -- part of the port
  isSilent(): boolean {
    return false;
  }

  async sendOrder(
    order: MessageInitShape<typeof ServerOrderSchema>,
  ): Promise<ServerAnswer | undefined> {
    const received = encodeAndDecode(ServerOrderSchema, create(ServerOrderSchema, order));
    const server = this.servers.get(received.serverId) ?? new InMemoryServer();
    this.servers.set(received.serverId, server);
    return encodeAndDecode(ServerAnswerSchema, await sendCarriedOrder(server, received));
  }
}
