/** A request whose connection closes, or whose process ends, before its response is complete. */
export interface UnansweredRequest {
  readonly method: string;
  readonly path: string;
  /** Time since the header of the request was read, in milliseconds. */
  readonly ageMs: number;
  /** True if the request has been read to its end. */
  readonly isWhole: boolean;
  /** Requests on the same connection so far, this one included. */
  readonly requestsOnConnection: number;
  /** The side that ends the connection; `caller` also if the connection fails. */
  readonly closedBy: 'caller' | 'instance';
}
