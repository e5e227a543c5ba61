import { z } from 'zod';

/** The faults that tests can inject into a backend server stand-in. */
export const backendFaultsSchema = z.strictObject({
  /** Every task fails immediately. */
  failAll: z.boolean().default(false),
  /** Delay added to the run time of every task, in milliseconds. */
  stallMs: z.number().min(0).default(0),
  /** Tasks run, but the connection is closed instead of a response. */
  dropAnswers: z.boolean().default(false),
  /** Responses to tasks carry the header that announces that the server is leaving. */
  leaving: z.boolean().default(false),
  /**
   * Connections that are open when the fault is set stay open but send no further responses; new
   * connections work.
   */
  silent: z.boolean().default(false),
  /** Responses name a different attempt than the request. */
  wrongAttempt: z.boolean().default(false),
  /** Responses are truncated: the connection is closed in the middle of the body. */
  truncate: z.boolean().default(false),
  /** Tasks are refused with status 503 and no body, which is no proof that the task did not run. */
  bareRefusals: z.boolean().default(false),
});
