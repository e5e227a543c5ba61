import { defineField } from './define-field';

/** Defines a setting that is a non-negative integer from `min` to `max`, both inclusive. */
export function defineInteger(about: string, min: number, max: number, fallback?: string) {
  const form = `a whole number from ${min} to ${max}`;
  return defineField({ form, about, ...(fallback === undefined ? {} : { fallback }) }, (text) => {
    const value = /^\d+$/.test(text) ? Number(text) : undefined;
    return value !== undefined && value >= min && value <= max ? value : undefined;
  });
}
