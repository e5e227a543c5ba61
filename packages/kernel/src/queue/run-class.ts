/** Whether a task is expected, or was seen, to hold a slot for long. */
export type RunClass = 'short' | 'long';
