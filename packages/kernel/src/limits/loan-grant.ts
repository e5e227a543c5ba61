import type { LoanId } from '../ids/loan-id';
import type { LimitAmount } from './limit-amount';

/** A loan as the lender grants it. The term starts when the borrower sent its request. */
export interface LoanGrant {
  readonly id: LoanId;
  readonly amount: LimitAmount;
  readonly termMs: number;
}
