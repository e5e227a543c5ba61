import type { Brand } from '../brand';

/** Random id of one process start. A restarted process has another one. */
export type IncarnationId = Brand<string, 'IncarnationId'>;
