import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { IncarnationId } from '@guavaspindle/kernel/ids/incarnation-id';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';

/** An instance as the registry lists it. */
export interface RegisteredInstance {
  readonly name: InstanceName;
  readonly domain: DomainName;
  readonly incarnation: IncarnationId;
  /** host:port of the instance's own protocol. */
  readonly address: string;
}
