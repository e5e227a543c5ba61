const BITS_PER_CHUNK = 65_536;

/**
 * A compact set of small non-negative integers. Uses one bit per number, in chunks that are
 * allocated on demand.
 */
export class NumberSet {
  private readonly chunks = new Map<number, Uint8Array>();

  /** Adds a non-negative integer. */
  addNumber(value: number): void {
    const chunkIndex = Math.floor(value / BITS_PER_CHUNK);
    let chunk = this.chunks.get(chunkIndex);
    if (chunk === undefined) {
      chunk = new Uint8Array(BITS_PER_CHUNK / 8);
      this.chunks.set(chunkIndex, chunk);
    }
    const bit = value % BITS_PER_CHUNK;
    if (!this.hasNumber(value)) {
      chunk[Math.floor(bit / 8)]! += 2 ** (bit % 8);
    }
  }

  /** Returns whether the number was added. */
  hasNumber(value: number): boolean {
    const chunk = this.chunks.get(Math.floor(value / BITS_PER_CHUNK));
    if (chunk === undefined) {
      return false;
    }
    const bit = value % BITS_PER_CHUNK;
    return Math.floor(chunk[Math.floor(bit / 8)]! / 2 ** (bit % 8)) % 2 === 1;
  }
}
