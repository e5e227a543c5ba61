import type { Brand } from '../brand';

/** A job's id. It is the ticket's text, so any gateway can read the owning incarnation from it. */
export type JobId = Brand<string, 'JobId'>;
