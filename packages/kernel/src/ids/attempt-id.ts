import type { Brand } from '../brand';

/** An attempt's id: the task's id, a slash and the attempt's number, counted from 1. */
export type AttemptId = Brand<string, 'AttemptId'>;
