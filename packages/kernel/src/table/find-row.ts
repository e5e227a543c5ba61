import type { CallerName } from '../ids/caller-name';
import type { DomainName } from '../ids/domain-name';
import type { KindName } from '../ids/kind-name';
import type { OperatorsTable } from './operators-table';
import type { TableRow } from './table-row';

const WILDCARD = '*';

/** Scores a cell: 1 for an exact match, 0 for `*`, undefined if it does not match. */
function scoreCell(cell: string, value: string): number | undefined {
  if (cell === value) {
    return 1;
  }
  return cell === WILDCARD ? 0 : undefined;
}

/** Scores a row. An exact caller outweighs an exact kind, which outweighs an exact domain. */
function scoreRow(row: TableRow, caller: string, kind: string, domain: string): number | undefined {
  const callerScore = scoreCell(row.caller, caller);
  const kindScore = scoreCell(row.kind, kind);
  const domainScore = scoreCell(row.domain, domain);
  if (callerScore === undefined || kindScore === undefined || domainScore === undefined) {
    return undefined;
  }
  return callerScore * 4 + kindScore * 2 + domainScore;
}

/**
 * Finds the most specific row for a caller, kind and domain. Returns undefined if no row matches.
 */
export function findRow(
  table: OperatorsTable,
  caller: CallerName,
  kind: KindName,
  domain: DomainName,
): TableRow | undefined {
  let best: TableRow | undefined;
  let bestScore = -1;
  table.rows.forEach((row) => {
    const score = scoreRow(row, caller, kind, domain);
    if (score !== undefined && score > bestScore) {
      best = row;
      bestScore = score;
    }
  });
  return best;
}
