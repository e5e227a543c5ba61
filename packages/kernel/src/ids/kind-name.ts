import type { Brand } from '../brand';

/** The name of a kind of request. */
export type KindName = Brand<string, 'KindName'>;
