import type { MessageInitShape } from '@bufbuild/protobuf';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type {
  ServerAnswer,
  ServerOrderSchema,
} from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';

/** An entry instance that carries the leader's orders to backend servers. */
export interface CarrierPort {
  readonly domain: DomainName;
  /** Tells whether the instance has not been heard for longer than a few pings. */
  isSilent(): boolean;
  /**
   * Hands an order over and resolves with the server's answer; undefined if the carrier has not
   * answered within the time or is gone, so that the order may or may not have been sent.
   */
  sendOrder(
    order: MessageInitShape<typeof ServerOrderSchema>,
    timeoutMs: number,
  ): Promise<ServerAnswer | undefined>;
}
