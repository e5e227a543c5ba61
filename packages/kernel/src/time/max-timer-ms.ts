/** Longest time that a timer of the runtime can wait, in milliseconds; it fires at once for a longer one. */
export const MAX_TIMER_MS = 2_147_483_647;
