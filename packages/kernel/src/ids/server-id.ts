import type { Brand } from '../brand';

/** A backend server's id in the platform's instance list. */
export type ServerId = Brand<string, 'ServerId'>;
