/** How an instance sees the leader of a part, as it reports to other instances. */
export interface InstanceView {
  /**
   * Incarnation of the leader from which it has recently received a message (its own if it leads all
   * domains); empty if there is none.
   */
  readonly heardLeader: string;
  /** It reaches neither a leader nor the platform's store. */
  readonly isIsolated: boolean;
  /** It leads only its own failure domain, which is cut off. */
  readonly leadsDomain: boolean;
}
