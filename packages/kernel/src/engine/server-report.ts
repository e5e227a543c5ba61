import type { DomainName } from '../ids/domain-name';
import type { ServerId } from '../ids/server-id';
import type { ServiceName } from '../ids/service-name';
import type { Resources } from './resources';

/** What a backend server says of itself. */
export interface ServerReport {
  readonly id: ServerId;
  readonly service: ServiceName;
  readonly domain: DomainName;
  /** host:port of the server's own interface. */
  readonly address: string;
  /** Unix milliseconds of the server's start; another value is another life of the server. */
  readonly bornMs: number;
  readonly capacity: Resources;
  /** Names that steps may require, the rack among them. */
  readonly labels: readonly string[];
  readonly isDraining: boolean;
}
