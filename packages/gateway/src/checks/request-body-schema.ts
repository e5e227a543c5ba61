import { z } from 'zod';

const MAX_DEADLINE_MS = 3_600_000;

/** The body of `POST /v1/requests`. */
export const requestBodySchema = z.strictObject({
  kind: z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/, 'must be a name'),
  payload: z.json(),
  nonIdempotent: z.boolean().default(false),
  deadlineMs: z.number().positive().max(MAX_DEADLINE_MS).optional(),
});
