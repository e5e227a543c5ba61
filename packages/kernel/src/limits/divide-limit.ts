/**
 * Computes one dispatcher's fixed part of a whole-number limit. The parts of all dispatchers of a
 * failure domain add up to the limit exactly, whichever of them are alive.
 *
 * @param index - this dispatcher's place among `count`, from 0
 */
export function divideLimit(limit: number, index: number, count: number): number {
  const base = Math.floor(limit / count);
  return index < limit % count ? base + 1 : base;
}
