import type { Brand } from '../brand';

/** A random id of one run of a process. A restarted process gets a new one. */
export type IncarnationId = Brand<string, 'IncarnationId'>;
