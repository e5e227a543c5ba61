import { z } from 'zod';

const MAX_TASKS = 1_300;
const MAX_MS = 3_600_000;

/** A name of a caller's kind or of a failure domain. */
const name = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/, 'must be a name');

const demand = z.strictObject({
  cores: z.number().min(0).default(0),
  memoryMb: z.number().min(0).default(0),
  accelerators: z.number().min(0).default(0),
});

const task = z.strictObject({
  payload: z.json(),
  expectedMs: z.number().positive().max(MAX_MS).optional(),
  demand: demand.optional(),
});

/** The body of `POST /v1/jobs`. */
export const jobBodySchema = z.strictObject({
  kind: name,
  ticket: z.string().min(1).max(200).optional(),
  domain: name.optional(),
  deadlineMs: z.number().positive().max(MAX_MS).optional(),
  tasks: z.array(task).min(1).max(MAX_TASKS),
});
