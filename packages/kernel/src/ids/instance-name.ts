import type { Brand } from '../brand';

/** The name of an entry instance of the system. */
export type InstanceName = Brand<string, 'InstanceName'>;
