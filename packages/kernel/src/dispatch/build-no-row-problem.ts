import type { Problem } from '../outcome/problem';
import type { JobSubmission } from '../submission/job-submission';
import { hasKind } from '../table/has-kind';
import type { OperatorsTable } from '../table/operators-table';
import { buildProblem } from './build-problem';

/** Builds the problem for a submission whose caller and kind have no row in the table. */
export function buildNoRowProblem(table: OperatorsTable, submission: JobSubmission): Problem {
  return hasKind(table, submission.kind)
    ? buildProblem('forbidden-kind', 'not-run', 'The table has no row for this caller and kind.')
    : buildProblem('unknown-kind', 'not-run', 'The table does not name this kind.');
}
