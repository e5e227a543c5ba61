/** How an instance sees the leader, as it tells others. */
export interface InstanceView {
  /** Incarnation of the leader that it hears; empty if it hears none. */
  readonly heardLeader: string;
  /** Neither a leader nor the platform's store answers it. */
  readonly isIsolated: boolean;
  /** It leads its own failure domain while it is cut off. */
  readonly leadsDomain: boolean;
}
