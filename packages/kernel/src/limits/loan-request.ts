import type { CallerName } from '../ids/caller-name';
import type { KindName } from '../ids/kind-name';
import type { LoanId } from '../ids/loan-id';
import type { LimitAmount } from './limit-amount';

/** What a dispatcher asks of a peer: a new loan, or more time for one that it has. */
export interface LoanRequest {
  readonly caller: CallerName;
  readonly kind: KindName;
  /** Revision of the borrower's table; the lender's must be the same. */
  readonly revision: number;
  readonly wanted: LimitAmount;
  /** The borrower holds nothing of a limit that it needs, so it cannot start at all. */
  readonly holdsNone: boolean;
  /** The loan to renew; undefined for a new one. */
  readonly renews: LoanId | undefined;
}
