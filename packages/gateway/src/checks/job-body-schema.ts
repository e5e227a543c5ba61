import { z } from 'zod';

const MAX_TASKS = 1_300;
const MAX_DURATION_MS = 3_600_000;

/** Name of a job kind or of a failure domain. */
const nameSchema = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/, 'must be a name');

const demandSchema = z.strictObject({
  cores: z.number().min(0).default(0),
  memoryMb: z.number().min(0).default(0),
  accelerators: z.number().min(0).default(0),
});

const taskSchema = z.strictObject({
  payload: z.json(),
  expectedMs: z.number().positive().max(MAX_DURATION_MS).optional(),
  demand: demandSchema.optional(),
});

/** The body of `POST /v1/jobs`. */
export const jobBodySchema = z.strictObject({
  kind: nameSchema,
  ticket: z.string().min(1).max(200).optional(),
  domain: nameSchema.optional(),
  deadlineMs: z.number().positive().max(MAX_DURATION_MS).optional(),
  tasks: z.array(taskSchema).min(1).max(MAX_TASKS),
});
