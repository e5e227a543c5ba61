import { defineField } from './define-field';

const NAME_PATTERN = /^[a-z0-9]([a-z0-9-]{0,38}[a-z0-9])?$/;

/** Defines a setting that is a name of lowercase letters, digits and inner hyphens. */
export function defineName(about: string) {
  return defineField(
    { form: '1 to 40 lower-case letters, digits and hyphens, such as hall-jabal', about },
    (text) => (NAME_PATTERN.test(text) ? text : undefined),
  );
}
