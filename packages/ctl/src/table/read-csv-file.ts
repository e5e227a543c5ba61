import { readFileSync } from 'node:fs';
import { err, type Result } from 'neverthrow';
import { parseCsv } from './parse-csv';

/** Reads the rows of a CSV file; the error names the file. */
export function readCsvFile(file: string): Result<Record<string, string | number>[], string> {
  try {
    return parseCsv(readFileSync(file, 'utf8')).mapErr((problem) => `${file}: ${problem}`);
  } catch (error) {
    return err(`${file}: cannot be read (${(error as Error).message})`);
  }
}
