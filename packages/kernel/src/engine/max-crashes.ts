/** Number of servers that may crash under a task before it is given up. */
export const MAX_CRASHES = 2;
