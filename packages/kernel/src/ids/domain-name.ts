import type { Brand } from '../brand';

/** The name of a failure domain. */
export type DomainName = Brand<string, 'DomainName'>;
