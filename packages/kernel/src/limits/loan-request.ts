import type { CallerName } from '../ids/caller-name';
import type { KindName } from '../ids/kind-name';
import type { LoanId } from '../ids/loan-id';
import type { LimitAmount } from './limit-amount';

/** A request to a peer for a new loan or for the renewal of one. */
export interface LoanRequest {
  readonly caller: CallerName;
  readonly kind: KindName;
  /** Revision of the borrower's table. The lender grants nothing under another revision. */
  readonly revision: number;
  readonly wanted: LimitAmount;
  /** Whether the borrower's usable amount of a limit is zero, so that it cannot start any task. */
  readonly holdsNone: boolean;
  /** The loan to renew; undefined for a new one. */
  readonly renews: LoanId | undefined;
}
