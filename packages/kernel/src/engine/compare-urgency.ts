import type { Urgency } from './urgency';

/** Orders two places in the order of starts; negative if the first comes first. */
export function compareUrgency(a: Urgency, b: Urgency): number {
  return a.band - b.band || a.key - b.key;
}
