import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { KeyValueStore } from '@guavaspindle/platform/store/key-value-store';
import { err, ok, type Result } from 'neverthrow';
import { applyEdit } from './apply-edit';
import type { EditError } from './edit-error';
import type { EditRequest } from './edit-request';
import { parseDocument } from './parse-document';
import type { TableDocument } from './table-document';
import { TABLE_KEY } from './table-key';

/** An edit is tried again after lost races and lost answers this often. */
const MAX_TRIES = 20;
const MAX_PAUSE_MS = 40;

const EMPTY: TableDocument = { revision: 0, rows: [], edits: [] };

/** The table with the index that a write has to name. */
interface ReadTable {
  readonly document: TableDocument;
  readonly modifyIndex: number;
}

/**
 * Writes operators' edits to the store by compare-and-swap. A lost answer is settled by reading
 * back and looking for the edit's id.
 */
export class TableEditor {
  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    /** The highest revision that this agent has seen in force. */
    private readonly readKnownRevision: () => number,
  ) {}

  /** Carries out one edit; returns the table that contains it. */
  async editRow(request: EditRequest): Promise<Result<TableDocument, EditError>> {
    let mayHaveLanded = false;
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      // eslint-disable-next-line no-await-in-loop -- one try after the other
      const read = await this.readTable();
      if (read.isOk()) {
        const { document, modifyIndex } = read.value;
        if (document.revision < this.readKnownRevision()) {
          return err(TableEditor.buildOlderError(document.revision, this.readKnownRevision()));
        }
        if (document.edits.some((edit) => edit.editId === request.editId)) {
          return ok(document);
        }
        const edited = applyEdit(document, request, this.clock.wall());
        if (edited.isErr()) {
          return err(edited.error);
        }
        // eslint-disable-next-line no-await-in-loop -- one try after the other
        const written = await this.store.compareAndSet(
          TABLE_KEY,
          JSON.stringify(edited.value),
          modifyIndex,
        );
        if (written.isOk() && written.value) {
          return ok(edited.value);
        }
        mayHaveLanded ||= written.isErr() && written.error.type === 'unanswered';
      }
      // A random moment, so that racing editors do not meet again at once.
      // eslint-disable-next-line no-await-in-loop -- one try after the other
      await this.clock.pause(Math.random() * MAX_PAUSE_MS);
    }
    return err(TableEditor.buildGiveUpError(mayHaveLanded));
  }

  private async readTable(): Promise<Result<ReadTable, string>> {
    const read = await this.store.readValue(TABLE_KEY);
    if (read.isErr()) {
      return err(read.error.detail);
    }
    if (read.value === undefined) {
      return ok({ document: EMPTY, modifyIndex: 0 });
    }
    const { text, modifyIndex } = read.value;
    return parseDocument(text).map((document) => ({ document, modifyIndex }));
  }

  /** An edit on top of an older table would get a revision that nobody adopts. */
  private static buildOlderError(stored: number, known: number): EditError {
    const detail =
      `The store holds revision ${stored}, but revision ${known} is in force. ` +
      'Write the newer table back to the store before editing.';
    return { type: 'store-unavailable', detail };
  }

  private static buildGiveUpError(mayHaveLanded: boolean): EditError {
    return mayHaveLanded
      ? {
          type: 'unsettled',
          detail:
            'The store took the write and did not answer; look at the table before repeating.',
        }
      : {
          type: 'store-unavailable',
          detail: 'The store cannot be reached; nothing was written. Try again later.',
        };
  }
}
