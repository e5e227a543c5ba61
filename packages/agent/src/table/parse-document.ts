import { tableRowSchema } from '@guavaspindle/kernel/table/table-row-schema';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { TableDocument } from './table-document';

const documentSchema = z.object({
  revision: z.number().int().min(0),
  rows: z.array(tableRowSchema.extend({ changedIn: z.number().int().min(0) })),
  edits: z.array(
    z.object({
      editId: z.string(),
      revision: z.number().int(),
      rowId: z.string(),
      operator: z.string(),
      atMs: z.number(),
      before: tableRowSchema.nullable(),
      after: tableRowSchema.nullable(),
    }),
  ),
});

/** Reads a stored table; the error is a sentence. */
export function parseDocument(text: string): Result<TableDocument, string> {
  try {
    const parsed = documentSchema.safeParse(JSON.parse(text));
    return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
  } catch (error) {
    return err(`The stored table is not JSON: ${(error as Error).message}`);
  }
}
