import type { Flow } from '../queue/flow';
import type { LoanRequest } from './loan-request';

/** Gives the lender and the borrower access to the flows and to the table's revision. */
export interface FlowSource {
  readonly listFlows: () => Iterable<Flow>;
  /**
   * Returns the flow of a caller and kind, and creates it if it does not exist. Returns undefined if
   * the table has no row for them.
   */
  readonly findFlow: (request: Pick<LoanRequest, 'caller' | 'kind'>) => Flow | undefined;
  /** Returns the revision of the table in force, or 0 before the first table is adopted. */
  readonly readRevision: () => number;
}
