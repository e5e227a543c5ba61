/**
 * How a run ended. `done` and `failed` are results of the task itself; `stopped` follows a stop
 * order; `lost` covers runs that never began and expired leases that the server has listed;
 * `unreachable` means that the server was silent until the lease had expired, `crashed` that it is
 * known to have ended along with its runs.
 */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lost' | 'unreachable' | 'crashed';
