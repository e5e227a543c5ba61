/** How a caller's try to hand a job in ended; `open` without a final answer. */
export type TryOutcome = 'refused' | 'completed' | 'failed' | 'open';
