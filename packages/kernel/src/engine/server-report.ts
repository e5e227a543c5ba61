import type { NetworkAddress } from '../address/network-address';
import type { DomainName } from '../ids/domain-name';
import type { ServerId } from '../ids/server-id';
import type { ServiceName } from '../ids/service-name';
import type { Resources } from './resources';

/** What a backend server reports about itself. */
export interface ServerReport {
  readonly id: ServerId;
  readonly service: ServiceName;
  readonly domain: DomainName;
  /** Address of the server's API. */
  readonly address: NetworkAddress;
  /** Unix milliseconds of the start of the life that the report is about; 0 if it does not name one. */
  readonly bornMs: number;
  readonly capacity: Resources;
  /** Labels that steps may require or prefer, including the kind and the rack. */
  readonly labels: readonly string[];
  /** Kind of the server, which decides its speed; undefined if the entry does not name it. */
  readonly kind?: string | undefined;
  /** Rack of the server; undefined if the entry does not name it. */
  readonly rack?: string | undefined;
  readonly isDraining: boolean;
  /** Until when the server is slow after its start, in monotonic milliseconds; absent if it is warm. */
  readonly coldUntilMs?: number;
}
