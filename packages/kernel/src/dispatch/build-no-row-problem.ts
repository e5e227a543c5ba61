import type { Problem } from '../outcome/problem';
import type { JobSubmission } from '../submission/job-submission';
import { hasKind } from '../table/has-kind';
import type { OperatorsTable } from '../table/operators-table';
import { buildProblem } from './build-problem';

/** Builds the refusal of a caller and kind for which the table has no row. */
export function buildNoRowProblem(table: OperatorsTable, submission: JobSubmission): Problem {
  return hasKind(table, submission.kind)
    ? buildProblem('forbidden-kind', 'not-run', 'The table has no row for this caller and kind.')
    : buildProblem('unknown-kind', 'not-run', 'The table does not name this kind.');
}
