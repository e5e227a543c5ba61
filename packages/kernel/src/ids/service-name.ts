import type { Brand } from '../brand';

/** The name of a service: a pool of backend servers. */
export type ServiceName = Brand<string, 'ServiceName'>;
