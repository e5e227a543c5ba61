import type { Clock } from './clock';
import { MAX_TIMER_MS } from './max-timer-ms';

/** The clock of the operating system. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  pause: (ms) =>
    new Promise((resolve) => {
      setTimeout(resolve, Math.min(ms, MAX_TIMER_MS));
    }),
};
