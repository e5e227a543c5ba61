import { z } from 'zod';

/** Defines a section of settings; unknown keys are errors, an absent section takes fallbacks. */
export function defineSection<Shape extends z.core.$ZodLooseShape>(shape: Shape) {
  return z.preprocess((section) => section ?? {}, z.strictObject(shape));
}
