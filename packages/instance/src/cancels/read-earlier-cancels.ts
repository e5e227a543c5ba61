/* eslint-disable no-await-in-loop -- each attempt follows a failure */
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import { cancelTiming } from './cancel-timing';

/**
 * Reads the cancellations of earlier leaders; tries again until the store answers or time is out.
 *
 * @returns undefined if the store has not answered
 */
export async function readEarlierCancels(
  clock: Clock,
  readCancels: () => Promise<readonly JobId[] | undefined>,
  isClosed: () => boolean,
): Promise<readonly JobId[] | undefined> {
  const beganMs = clock.now();
  let ids = await readCancels();
  while (ids === undefined && !isClosed() && clock.now() - beganMs < cancelTiming.readTimeoutMs) {
    await clock.pause(cancelTiming.retryDelayMs);
    ids = await readCancels();
  }
  return ids;
}
