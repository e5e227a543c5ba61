import { createHash } from 'node:crypto';
import type { CallerName } from '@guavaspindle/kernel/ids/caller-name';

const DIGEST_LENGTH = 32;

/** Computes the digest that identifies a caller's key; the same key of two callers differs. */
export function computeKeyDigest(caller: CallerName, key: string): string {
  return createHash('sha256').update(`${caller}\n${key}`).digest('hex').slice(0, DIGEST_LENGTH);
}
