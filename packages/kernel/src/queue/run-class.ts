/** Class of a task by its run time, as estimated before its start or observed while it runs. */
export type RunClass = 'short' | 'long';
