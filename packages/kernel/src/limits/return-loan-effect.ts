import type { CallerName } from '../ids/caller-name';
import type { IncarnationId } from '../ids/incarnation-id';
import type { KindName } from '../ids/kind-name';
import type { LoanId } from '../ids/loan-id';

/** Tells a lender that the borrower no longer uses a loan. */
export interface ReturnLoanEffect {
  readonly type: 'return-loan';
  readonly lender: IncarnationId;
  readonly loan: LoanId;
  readonly caller: CallerName;
  readonly kind: KindName;
}
