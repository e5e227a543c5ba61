/**
 * How long a cancellation is kept, in milliseconds. Copies of a request arrive seconds after its answer;
 * the longest time for which a route lets its callers wait, and send a job again, is 30 s.
 */
export const CANCEL_RETENTION_MS = 60_000;
