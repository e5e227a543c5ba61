import type { CallerName } from '../ids/caller-name';
import type { IncarnationId } from '../ids/incarnation-id';
import type { KindName } from '../ids/kind-name';
import type { LoanId } from '../ids/loan-id';

/** A message to a lender: its part of a limit is no longer used. */
export interface ReturnLoanEffect {
  readonly type: 'return-loan';
  readonly lender: IncarnationId;
  readonly loan: LoanId;
  readonly caller: CallerName;
  readonly kind: KindName;
}
