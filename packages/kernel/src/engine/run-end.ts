/**
 * How a run ended. `done` and `failed` are results of the task itself; `stopped` follows a stop
 * order; `lost` covers expired leases, crashed servers and refused starts.
 */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lost';
