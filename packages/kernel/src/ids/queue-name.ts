import type { Brand } from '../brand';

/** The name of a queue of jobs, as the configuration has it. */
export type QueueName = Brand<string, 'QueueName'>;
