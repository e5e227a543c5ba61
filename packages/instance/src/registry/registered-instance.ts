import type { NetworkAddress } from '@guavaspindle/kernel/address/network-address';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { IncarnationId } from '@guavaspindle/kernel/ids/incarnation-id';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';

/** An instance as recorded in the registry. */
export interface RegisteredInstance {
  readonly name: InstanceName;
  readonly domain: DomainName;
  readonly incarnation: IncarnationId;
  /** Processor capacity of the machine, in cores. */
  readonly cores: number;
  /** Address at which the instance serves the protocol between instances. */
  readonly address: NetworkAddress;
}
