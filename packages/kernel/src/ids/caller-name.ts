import type { Brand } from '../brand';

/** The name of an authenticated caller. */
export type CallerName = Brand<string, 'CallerName'>;
