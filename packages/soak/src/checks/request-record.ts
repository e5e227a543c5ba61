import type { CallerRequest } from './caller-request';
import type { ExchangeResult } from './exchange-result';

/** A request and how it ended; times are monotonic, in milliseconds. */
export interface RequestRecord {
  readonly request: CallerRequest;
  /** Address of the instance. */
  readonly address: string;
  readonly beganAtMs: number;
  /** When the last byte was sent. */
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** Number of the request on its connection, from 1. */
  readonly position: number;
  readonly result: ExchangeResult;
}
