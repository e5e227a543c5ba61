import type { EventRingBuffer } from '@guavaspindle/kernel/events/event-ring-buffer';
import { parseDocument } from './parse-document';
import type { TableDocument } from './table-document';

/** The newest table that this agent knows. Only a higher revision replaces it. */
export class TableHolder {
  private document: TableDocument | undefined;

  private json = '';

  constructor(private readonly ring: EventRingBuffer) {}

  /** Adopts a table's text if it is valid and newer; returns a sentence if it is not valid. */
  adoptText(text: string): string | undefined {
    const parsed = parseDocument(text);
    if (parsed.isErr()) {
      return parsed.error;
    }
    this.adoptDocument(parsed.value);
    return undefined;
  }

  /** Adopts a table if it is newer. */
  adoptDocument(document: TableDocument): void {
    if (document.revision <= this.readRevision()) {
      return;
    }
    this.document = document;
    this.json = JSON.stringify(document);
    this.ring.recordEvent({ type: 'table-adopted', detail: { revision: document.revision } });
  }

  /** The revision held; 0 before the first table. */
  readRevision(): number {
    return this.document?.revision ?? 0;
  }

  /** The table held. */
  readDocument(): TableDocument | undefined {
    return this.document;
  }

  /** The whole table as text for peers, if it is newer than the revision given. */
  readTextAfter(revision: number): string {
    return this.readRevision() > revision ? this.json : '';
  }

  /** The rows alone as text for local processes, if newer than the revision given. */
  readRowsAfter(revision: number): string {
    if (this.document === undefined || this.document.revision <= revision) {
      return '';
    }
    const rows = this.document.rows.map(({ changedIn: _changedIn, ...row }) => row);
    return JSON.stringify({ revision: this.document.revision, rows });
  }
}
