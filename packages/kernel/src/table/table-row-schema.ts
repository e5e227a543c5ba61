import { z } from 'zod';

const NAME_OR_WILDCARD_PATTERN = /^(\*|[a-zA-Z0-9][a-zA-Z0-9._-]{0,63})$/;
const MAX_COUNT = 10_000_000;
const MAX_WEIGHT = 10_000;
const MAX_DEADLINE_MS = 3_600_000;

const nameOrWildcard = z
  .string()
  .regex(NAME_OR_WILDCARD_PATTERN, 'must be * or a name of at most 64 characters');
const count = z.number().int().min(0).max(MAX_COUNT);

/** Validates one row of the table. Unknown fields are errors. */
export const tableRowSchema = z.strictObject({
  rowId: z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/, 'must be a name'),
  caller: nameOrWildcard,
  kind: nameOrWildcard,
  domain: nameOrWildcard,
  weight: z.number().positive().max(MAX_WEIGHT),
  maxRunning: count,
  startsPerSecond: z.number().min(0).max(MAX_COUNT),
  maxQueued: count,
  deadlineMs: z.number().int().min(1).max(MAX_DEADLINE_MS),
});
