import type { Brand } from '../brand';

/** Names a part of the backend servers that one instance leads. */
export type PartId = Brand<string, 'PartId'>;
