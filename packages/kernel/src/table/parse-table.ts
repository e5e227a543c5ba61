import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { OperatorsTable } from './operators-table';
import { tableRowSchema } from './table-row-schema';

/** The stored table holds more members than a process needs; those are passed over. */
const tableSchema = z.object({
  revision: z.number().int().min(1),
  rows: z.array(tableRowSchema),
});

/** Reads a table from JSON text; the error is a sentence. */
export function parseTable(text: string): Result<OperatorsTable, string> {
  try {
    const parsed = tableSchema.safeParse(JSON.parse(text));
    return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
  } catch (error) {
    return err(`The table is not JSON: ${(error as Error).message}`);
  }
}
