import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { OperatorsTable } from './operators-table';
import { tableRowSchema } from './table-row-schema';

/** Schema of the fields that a process needs. Other fields of the stored table are ignored. */
const tableSchema = z.object({
  revision: z.number().int().min(1),
  rows: z.array(tableRowSchema),
});

/** Parses a table from JSON text. The error is a readable message. */
export function parseTable(text: string): Result<OperatorsTable, string> {
  try {
    const parsed = tableSchema.safeParse(JSON.parse(text));
    return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
  } catch (error) {
    return err(`The table is not JSON: ${(error as Error).message}`);
  }
}
