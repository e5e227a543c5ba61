import type { LoanId } from '../ids/loan-id';
import type { LimitAmount } from './limit-amount';

/** What a lender gives. The term counts from the moment at which the borrower asked. */
export interface LoanGrant {
  readonly id: LoanId;
  readonly amount: LimitAmount;
  readonly termMs: number;
}
