/** What the exit code of guavactl says to scripts. */
export const exitCodes = {
  done: 0,
  /** The agent refused: a bad cell, a key that is not known. */
  refused: 1,
  /** The command line or a file is wrong. */
  usage: 2,
  /** The agent cannot be reached. */
  unreachable: 3,
  /** Another operator changed the row first. */
  conflict: 4,
  /** Not all processes had adopted the table in time. */
  notAdopted: 5,
  /** A file differs from the present table. */
  differs: 6,
} as const;
