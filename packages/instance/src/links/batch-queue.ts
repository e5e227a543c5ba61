/* eslint-disable no-await-in-loop -- batches are yielded one at a time */
/** Collects what is added during one turn of the event loop and yields it as one stream message. */
export class BatchQueue<Batch> implements AsyncIterable<Batch> {
  private pending: Batch | undefined;

  private wake: (() => void) | undefined;

  private isClosed = false;

  /** @param buildBatch - builds an empty batch */
  constructor(private readonly buildBatch: () => Batch) {}

  /** Changes the batch that is sent after this turn of the event loop; ignored once closed. */
  addToBatch(change: (batch: Batch) => void): void {
    if (this.isClosed) {
      return;
    }
    if (this.pending === undefined) {
      this.pending = this.buildBatch();
      setImmediate(() => this.wake?.());
    }
    change(this.pending);
  }

  /** Ends the stream after the pending batch. */
  close(): void {
    this.isClosed = true;
    this.wake?.();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<Batch> {
    for (;;) {
      const batch = this.pending;
      if (batch !== undefined) {
        this.pending = undefined;
        yield batch;
      } else if (this.isClosed) {
        return;
      } else {
        await new Promise<void>((resolve) => {
          this.wake = resolve;
        });
        this.wake = undefined;
      }
    }
  }
}
