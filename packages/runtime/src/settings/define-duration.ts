import { defineField } from './define-field';

const MS_BY_UNIT: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000 };
const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/;

/** Defines a setting that is a duration; its value is in milliseconds. */
export function defineDuration(about: string, fallback?: string) {
  const form = 'a number and a unit (ms, s, m or h), such as 500ms or 30s';
  return defineField({ form, about, ...(fallback === undefined ? {} : { fallback }) }, (text) => {
    const match = DURATION_PATTERN.exec(text);
    return match === null ? undefined : Number(match[1]) * MS_BY_UNIT[match[2]!]!;
  });
}
