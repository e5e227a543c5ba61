/** One figure measured at several sizes. */
export interface SlopeSeries {
  /** What grows, such as "members". */
  readonly size: string;
  /** What is measured, with its unit. */
  readonly figure: string;
  readonly points: readonly (readonly [number, number])[];
}
