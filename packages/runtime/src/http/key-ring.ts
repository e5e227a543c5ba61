import { createHash, timingSafeEqual } from 'node:crypto';

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/;

/** Finds who presents a key, comparing digests in constant time. */
export class KeyRing {
  private readonly keyDigests: readonly { readonly name: string; readonly digest: Buffer }[];

  /**
   * @param digests - SHA-256 in hexadecimal of each name's key
   */
  constructor(digests: Readonly<Record<string, string>>) {
    this.keyDigests = Object.entries(digests).map(([name, hex]) => ({
      name,
      digest: Buffer.from(hex, 'hex'),
    }));
  }

  /** Returns the name behind an Authorization header, or undefined. */
  findName(authorization: string | undefined): string | undefined {
    const key = BEARER_PATTERN.exec(authorization ?? '')?.[1];
    if (key === undefined) {
      return undefined;
    }
    const digest = createHash('sha256').update(key).digest();
    // Every entry is compared, so the time does not tell which one matched.
    const matches = this.keyDigests.filter((entry) => timingSafeEqual(entry.digest, digest));
    return matches[0]?.name;
  }
}
