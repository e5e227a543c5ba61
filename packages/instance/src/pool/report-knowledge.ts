/** What this process knows of the servers' entries in the store. */
export interface ReportKnowledge {
  /** As of when the entries are known, in monotonic milliseconds; `-Infinity` if they have not been read yet. */
  findKnownAsOfMs(): number;
  /** Interval at which a server writes its entry, in milliseconds. */
  readonly heartbeatMs: number;
}
