import type { Urgency } from './urgency';

/** Compares two urgencies; negative if the first job starts first. */
export function compareUrgency(a: Urgency, b: Urgency): number {
  return a.band - b.band || a.key - b.key;
}
