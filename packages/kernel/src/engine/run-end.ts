/**
 * How a run ended. `done` and `failed` are the task's own; `stopped` follows an order; `lost` covers
 * lapsed leases, crashed servers and starts that were refused for good.
 */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lost';
