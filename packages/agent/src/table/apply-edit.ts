import { err, ok, type Result } from 'neverthrow';
import type { EditError } from './edit-error';
import type { EditRequest } from './edit-request';
import type { StoredRow } from './stored-row';
import type { TableDocument } from './table-document';

/** Edits kept for history and for settling lost answers. */
const MAX_EDITS = 500;

/** Finds the revision in which a row was last changed or deleted, as far as the edits tell. */
function findLastChange(document: TableDocument, rowId: string): number {
  const row = document.rows.find((candidate) => candidate.rowId === rowId);
  if (row !== undefined) {
    return row.changedIn;
  }
  const edit = document.edits.findLast((candidate) => candidate.rowId === rowId);
  return edit?.revision ?? 0;
}

/** Tells whether two rows are about the same caller, kind and domain. */
function isSameSubject(left: StoredRow, right: NonNullable<EditRequest['after']>): boolean {
  return left.caller === right.caller && left.kind === right.kind && left.domain === right.domain;
}

/** Checks an edit against the table as it is. */
function checkEdit(document: TableDocument, request: EditRequest): EditError | undefined {
  const { rowId, after, seenRevision } = request;
  const lastChange = findLastChange(document, rowId);
  if (lastChange > seenRevision) {
    const detail = `Row "${rowId}" was changed in revision ${lastChange}; you saw revision ${seenRevision}. Look at it again.`;
    return { type: 'conflict', detail };
  }
  const exists = document.rows.some((row) => row.rowId === rowId);
  if (after === null) {
    return exists
      ? undefined
      : { type: 'conflict', detail: `Row "${rowId}" does not exist; nothing to delete.` };
  }
  const twin = document.rows.find((row) => row.rowId !== rowId && isSameSubject(row, after));
  if (twin !== undefined) {
    const detail = `caller, kind and domain: row "${twin.rowId}" has the same; change that row.`;
    return { type: 'bad-cell', detail };
  }
  return undefined;
}

/** Applies an edit to a table, giving the next revision. */
export function applyEdit(
  document: TableDocument,
  request: EditRequest,
  atMs: number,
): Result<TableDocument, EditError> {
  const problem = checkEdit(document, request);
  if (problem !== undefined) {
    return err(problem);
  }
  const { editId, operator, rowId, after } = request;
  const revision = document.revision + 1;
  const found = document.rows.find((row) => row.rowId === rowId);
  const { changedIn: _changedIn, ...before } = found ?? { changedIn: 0, rowId };
  const edit = {
    editId,
    revision,
    rowId,
    operator,
    atMs,
    before: found === undefined ? null : (before as NonNullable<EditRequest['after']>),
    after,
  };
  const others = document.rows.filter((row) => row.rowId !== rowId);
  return ok({
    revision,
    rows: after === null ? others : [...others, { ...after, changedIn: revision }],
    edits: [...document.edits, edit].slice(-MAX_EDITS),
  });
}
