/** What the ping of an entry instance tells the leader. */
export interface PingFlags {
  /** The entry instance has no open jobs at the leader: its next message may come later than usual. */
  readonly isIdle: boolean;
  /** The entry instance asks for a report of the leader's load. */
  readonly isReportNeeded: boolean;
}
