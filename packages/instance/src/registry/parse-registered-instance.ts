import { z } from 'zod';
import type { RegisteredInstance } from './registered-instance';

const schema = z.object({
  name: z.string().min(1),
  domain: z.string().min(1),
  incarnation: z.string().min(1),
  cores: z.number().nonnegative(),
  address: z.string().regex(/^[^\s:]+:\d{1,5}$/),
});

/** Parses the stored record of an instance; undefined if the text is not a valid record. */
export function parseRegisteredInstance(text: string): RegisteredInstance | undefined {
  try {
    const checked = schema.safeParse(JSON.parse(text));
    return checked.success ? (checked.data as RegisteredInstance) : undefined;
  } catch {
    // Text that is not JSON is treated like any other invalid record.
    return undefined;
  }
}
