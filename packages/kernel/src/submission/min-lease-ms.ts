/**
 * A backend server may hold a task for at least this long, in milliseconds, so that it can still
 * answer a start sent near the deadline.
 */
export const minLeaseMs = 50;
