import type { Brand } from '../brand';

/** A task's id: the job's id, a slash and the task's index. */
export type TaskId = Brand<string, 'TaskId'>;
