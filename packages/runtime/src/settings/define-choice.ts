import { defineField } from './define-field';

/** Defines a setting that is one of a fixed set of words. */
export function defineChoice<Word extends string>(
  about: string,
  words: readonly Word[],
  fallback: Word,
) {
  return defineField({ form: `one of ${words.join(', ')}`, about, fallback }, (text) =>
    words.find((word) => word === text),
  );
}
