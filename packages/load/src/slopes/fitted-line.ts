/** A straight line through measured points. */
export interface FittedLine {
  readonly intercept: number;
  readonly slope: number;
  /** Greatest distance of a point from the line. */
  readonly maxResidual: number;
}
