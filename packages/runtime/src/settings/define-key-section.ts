import { z } from 'zod';

const DIGEST_FORM = '64 hexadecimal digits: the SHA-256 of the key';

/** Defines a section that maps names to the SHA-256 digests of their keys, never to the keys. */
export function defineKeySection(about: string) {
  const digest = z.string().regex(/^[0-9a-f]{64}$/, `accepted: ${DIGEST_FORM}`);
  return z.record(z.string(), digest).meta({ form: DIGEST_FORM, about });
}
