/** A job's place in the order of starts; lower comes first, `band` before `key`. */
export interface Urgency {
  /** 0: can end within its objective. 1: late, but still of use. 2: of no use any more. */
  readonly band: 0 | 1 | 2;
  /** In band 0 the monotonic millisecond of the objective, elsewhere the work that is left. */
  readonly key: number;
}
