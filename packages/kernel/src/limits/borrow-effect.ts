import type { IncarnationId } from '../ids/incarnation-id';
import type { LoanRequest } from './loan-request';

/** Requests a loan, or the renewal of one, from a peer. */
export interface BorrowEffect {
  readonly type: 'borrow';
  readonly lender: IncarnationId;
  readonly request: LoanRequest;
  /** When the request was made, by this dispatcher's clock. The loan's term starts here. */
  readonly requestedAtMs: number;
}
