import type { FittedLine } from './fitted-line';

/** Fits a line by least squares; the points are pairs of size and figure. */
export function computeLine(points: readonly (readonly [number, number])[]): FittedLine {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const residuals = points.map(([x, y]) => Math.abs(y - intercept - slope * x));
  return { intercept, slope, maxResidual: Math.max(...residuals) };
}
