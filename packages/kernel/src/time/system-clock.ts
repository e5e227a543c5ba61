import type { Clock } from './clock';

/** The clock of the operating system. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  pause: (ms) =>
    new Promise((resolve) => {
      setTimeout(resolve, ms);
    }),
};
