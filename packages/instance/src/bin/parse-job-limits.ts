import { err, ok, type Result } from 'neverthrow';
import type { JobLimits } from '@guavaspindle/kernel/engine/job-limits';

const ITEM_COUNT = /^[1-9]\d{0,8}$/;

/** Parses the limits that the command line sets; the error names the option that is wrong. */
export function parseJobLimits(
  maxJobItems: string,
  maxOpenItems: string,
): Result<JobLimits, string> {
  if (!ITEM_COUNT.test(maxJobItems)) {
    return err('--max-job-items: not a whole number from 1 to 999999999');
  }
  if (!ITEM_COUNT.test(maxOpenItems) || Number(maxOpenItems) < Number(maxJobItems)) {
    return err('--max-open-items: not a whole number from --max-job-items to 999999999');
  }
  return ok({ maxJobItems: Number(maxJobItems), maxOpenItems: Number(maxOpenItems) });
}
