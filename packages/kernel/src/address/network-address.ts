import type { Brand } from '../brand';

/** A host and a port, `host:port`, of which a valid URL can be built. */
export type NetworkAddress = Brand<string, 'NetworkAddress'>;
