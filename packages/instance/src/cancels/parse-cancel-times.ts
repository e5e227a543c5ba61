import { z } from 'zod';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';

const schema = z.record(z.string(), z.number());

/** Parses the cancellations of a part: the time of each by job, in Unix milliseconds. */
export function parseCancelTimes(text: string): ReadonlyMap<JobId, number> | undefined {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return undefined;
  }
  const checked = schema.safeParse(value);
  return checked.success ? new Map(Object.entries(checked.data) as [JobId, number][]) : undefined;
}
