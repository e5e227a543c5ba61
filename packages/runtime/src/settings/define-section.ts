import { z } from 'zod';

/** Defines a settings section. Unknown keys are errors; an absent section has default values. */
export function defineSection<Shape extends z.core.$ZodLooseShape>(shape: Shape) {
  return z.preprocess((section) => section ?? {}, z.strictObject(shape));
}
