import { z } from 'zod';

/** The faults that the stand-in platform can be told to have. */
export const platformFaultsSchema = z.strictObject({
  /** Every call's connection is cut before it takes effect. */
  down: z.boolean().default(false),
  /** Calls through the ports of these failure domains are cut. */
  cutDomains: z.array(z.string()).default([]),
  /** Every call takes this much longer, in milliseconds. */
  slowMs: z.number().min(0).default(0),
  /** Writes take effect and their answers are lost. */
  loseAnswers: z.boolean().default(false),
  /** The instance list stays as it is now, whatever is registered. */
  staleList: z.boolean().default(false),
});
