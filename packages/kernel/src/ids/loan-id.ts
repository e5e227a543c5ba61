import type { Brand } from '../brand';

/** The id of a loan of part of a limit. It is unique within the lender's incarnation. */
export type LoanId = Brand<string, 'LoanId'>;
