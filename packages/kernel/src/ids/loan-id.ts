import type { Brand } from '../brand';

/** One loan of a part of a limit; unique for the lender's incarnation. */
export type LoanId = Brand<string, 'LoanId'>;
