import type { Clock } from './clock';

/** The machine's own clocks. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  pause: (ms) =>
    new Promise((resolve) => {
      setTimeout(resolve, ms);
    }),
};
