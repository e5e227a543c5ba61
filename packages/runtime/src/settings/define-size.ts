import { defineField } from './define-field';

const BYTES_BY_UNIT: Readonly<Record<string, number>> = { KB: 1_024, MB: 1_048_576 };
const SIZE_PATTERN = /^(\d+)(KB|MB)$/;

/** Defines a setting that is a size in KB or MB (powers of 1,024); its value is in bytes. */
export function defineSize(about: string, fallback: string) {
  return defineField(
    { form: 'a whole number and a unit (KB or MB), such as 64MB', about, fallback },
    (text) => {
      const match = SIZE_PATTERN.exec(text);
      return match === null ? undefined : Number(match[1]) * BYTES_BY_UNIT[match[2]!]!;
    },
  );
}
