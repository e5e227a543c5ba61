import { createHash, timingSafeEqual } from 'node:crypto';

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/;

/** Finds the name that belongs to a presented key by comparing digests in constant time. */
export class KeyRing {
  private readonly keyDigests: readonly { readonly name: string; readonly digest: Buffer }[];

  /**
   * @param digests - the hexadecimal SHA-256 digest of the key, by name
   */
  constructor(digests: Readonly<Record<string, string>>) {
    this.keyDigests = Object.entries(digests).map(([name, hex]) => ({
      name,
      digest: Buffer.from(hex, 'hex'),
    }));
  }

  /** Returns the name whose key is in the Authorization header; undefined if there is none. */
  findName(authorization: string | undefined): string | undefined {
    const key = BEARER_PATTERN.exec(authorization ?? '')?.[1];
    if (key === undefined) {
      return undefined;
    }
    const digest = createHash('sha256').update(key).digest();
    // Every digest is compared, so that the response time does not reveal which one matched.
    const matches = this.keyDigests.filter((entry) => timingSafeEqual(entry.digest, digest));
    return matches[0]?.name;
  }
}
