/** A request of a caller. */
export interface CallerRequest {
  readonly method: 'POST' | 'GET' | 'DELETE';
  readonly path: string;
  readonly body?: string;
  /** How long the system may take, in milliseconds. */
  readonly deadlineMs: number;
  /** How long the caller waits; a caller that leaves at the deadline does not see a late answer. */
  readonly waitMs: number;
  /** Whether the caller asks for the connection to be closed after the answer. */
  readonly isLast: boolean;
  /** How long after the header fields the body is sent, in milliseconds; 0: together. */
  readonly bodyDelayMs: number;
}
