import * as z from 'zod';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { PoolLayout } from '@guavaspindle/kernel/layout/pool-layout';

const schema = z.record(z.string().min(1), z.array(z.number().int().nonnegative()));

/** Parses the stored layout: a JSON object of the boundaries between parts by failure domain. */
export function parseLayout(text: string): PoolLayout | undefined {
  try {
    const checked = schema.safeParse(JSON.parse(text));
    return checked.success
      ? new Map(Object.entries(checked.data) as [DomainName, number[]][])
      : undefined;
  } catch {
    // Text that is not JSON is treated like any other invalid record.
    return undefined;
  }
}
