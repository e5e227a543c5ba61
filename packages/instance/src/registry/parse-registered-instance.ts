import * as z from 'zod';
import { parseNetworkAddress } from '@guavaspindle/kernel/address/parse-network-address';
import type { RegisteredInstance } from './registered-instance';

/** Largest plausible processor capacity of a machine, in cores. */
const MAX_CORES = 1_000_000;

const schema = z.object({
  name: z.string().min(1),
  domain: z.string().min(1),
  incarnation: z.string().min(1),
  cores: z.number().nonnegative().max(MAX_CORES),
  address: z.string().refine((text) => parseNetworkAddress(text) !== undefined),
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
