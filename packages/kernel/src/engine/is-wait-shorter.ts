import type { PlaceOffer } from './place-offer';

/** Waits exactly while the task is expected to end earlier at the better place, wait included. */
export function isWaitShorter({ startNowEndMs, waitEndMs }: PlaceOffer): boolean {
  return waitEndMs < startNowEndMs;
}
