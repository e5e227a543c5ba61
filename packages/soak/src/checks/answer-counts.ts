/** Requests that were sent completely, by how they ended. */
export interface AnswerCounts {
  answered: number;
  /** Answered after the deadline. */
  late: number;
  /** The connection ended without a complete answer, and no fault excuses it. */
  cut: number;
  /** Neither answered nor cut, and no fault excuses it. */
  silent: number;
  /** The caller left when the deadline was reached. */
  left: number;
  /** The server closed an idle connection as the request was on its way. */
  unreadIdle: number;
  /** The server closed its port or a new connection before it read the request. */
  unreadNew: number;
  /** The longest time from the last byte of a request that was not read to its end. */
  oldestUnreadMs: number;
  /** Without an answer, near a fault that is not planned. */
  excused: number;
}
