/**
 * Minimum time in milliseconds that a backend server may hold a task. It lets the server answer a
 * start that is sent near the deadline.
 */
export const minLeaseMs = 50;
