import type { Brand } from '../brand';

/** The name of a job queue, as set in the configuration. */
export type QueueName = Brand<string, 'QueueName'>;
