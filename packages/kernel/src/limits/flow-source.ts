import type { Flow } from '../queue/flow';
import type { LoanRequest } from './loan-request';

/** Where lender and borrower find flows and the revision of the table in force. */
export interface FlowSource {
  readonly listFlows: () => Iterable<Flow>;
  /** Finds a flow, making one that the table allows but nobody used; undefined without a row. */
  readonly findFlow: (request: Pick<LoanRequest, 'caller' | 'kind'>) => Flow | undefined;
  readonly readRevision: () => number;
}
