/**
 * Computes one dispatcher's fixed share of an integer limit. The shares of all dispatchers of a
 * failure domain add up to the limit exactly, regardless of which of them are running.
 *
 * @param index - zero-based position of this dispatcher
 * @param count - number of dispatchers in the failure domain, by the settings
 */
export function divideLimit(limit: number, index: number, count: number): number {
  const base = Math.floor(limit / count);
  return index < limit % count ? base + 1 : base;
}
