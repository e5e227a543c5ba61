/**
 * A job that takes longer than this multiple of its objective is of no use to its caller, by the
 * platform's rules.
 */
export const USEFUL_TIME_FACTOR = 3;
