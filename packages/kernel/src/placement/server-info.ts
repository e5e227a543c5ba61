import type { ServerId } from '../ids/server-id';
import type { Demand } from '../submission/demand';

/** A backend server as described by the instance list. */
export interface ServerInfo {
  readonly id: ServerId;
  /** `host:port`. */
  readonly address: string;
  readonly slots: number;
  readonly leaving: boolean;
  readonly capacity: Demand;
}
