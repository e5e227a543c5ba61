/** Why a run is stopped. */
export type StopReason =
  'cancelled' | 'job-ended' | 'no-answer' | 'overdue' | 'task-done' | 'unclaimed';
