import type { RegisteredInstance } from '../registry/registered-instance';

/** An instance with this many times the processor capacity of another one leads before it. */
const MUCH_LARGER_FACTOR = 2;
/** With as many much larger instances in its domain, an instance is unlikely to lead. */
const MIN_MUCH_LARGER = 2;

/** Returns whether an instance may have to lead soon, judged by the other instances of its domain. */
export function isLikelyLeader(
  self: Pick<RegisteredInstance, 'domain' | 'cores'>,
  others: readonly Pick<RegisteredInstance, 'domain' | 'cores'>[],
): boolean {
  const muchLarger = others.filter(
    ({ domain, cores }) => domain === self.domain && cores >= MUCH_LARGER_FACTOR * self.cores,
  );
  return muchLarger.length < MIN_MUCH_LARGER;
}
