import { z } from 'zod';

const MAX_TICKETS = 100;

/** The body of `POST /v1/tickets`. */
export const ticketsBodySchema = z.strictObject({
  count: z.number().int().min(1).max(MAX_TICKETS),
});
