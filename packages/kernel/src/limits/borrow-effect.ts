import type { IncarnationId } from '../ids/incarnation-id';
import type { LoanRequest } from './loan-request';

/** A question to a peer for a part of a limit. */
export interface BorrowEffect {
  readonly type: 'borrow';
  readonly lender: IncarnationId;
  readonly request: LoanRequest;
  /** The loan's term counts from here, by this dispatcher's clock. */
  readonly requestedAtMs: number;
}
