import { z } from 'zod';

/** The faults that a stand-in backend server can be told to have. */
export const backendFaultsSchema = z.strictObject({
  /** Every task fails at once. */
  failAll: z.boolean().default(false),
  /** Every answer comes this much later, in milliseconds. */
  stallMs: z.number().min(0).default(0),
  /** Tasks run and the connection is cut in place of an answer. */
  dropAnswers: z.boolean().default(false),
  /** The server says that it is leaving. */
  leaving: z.boolean().default(false),
  /** Connections that are open now stay open and never answer again; new ones work. */
  silent: z.boolean().default(false),
  /** Answers name another attempt. */
  wrongAttempt: z.boolean().default(false),
  /** Answers break off in the middle. */
  truncate: z.boolean().default(false),
  /** Refusals without proof: status 503 with no body. */
  bareRefusals: z.boolean().default(false),
});
