import { z } from 'zod';

/** The faults that tests can inject into the platform stand-in. */
export const platformFaultsSchema = z.strictObject({
  /** The connection of every call is closed before the call takes effect. */
  down: z.boolean().default(false),
  /** The connections of calls to the ports of these failure domains are closed. */
  cutDomains: z.array(z.string()).default([]),
  /** Delay added to every call, in milliseconds. */
  slowMs: z.number().min(0).default(0),
  /** Writes take effect, but the connection is closed instead of a response. */
  loseAnswers: z.boolean().default(false),
  /** The instance list is still served as it was when the fault was set; changes do not show. */
  staleList: z.boolean().default(false),
});
