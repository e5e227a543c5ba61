const DEFAULT_WAIT_MS = 5_000;

/** Blocking queries that wait for a change of the store or of the instance list. */
export class BlockingQueries {
  private readonly waiters = new Set<() => void>();

  /**
   * Waits for a change while the test holds, up to the query's `wait`.
   *
   * @param condition - tells whether the query still has nothing new to answer
   */
  async waitWhile(condition: () => boolean, url: URL): Promise<void> {
    const wait = /^(\d+)ms$/.exec(url.searchParams.get('wait') ?? '')?.[1];
    const deadline = performance.now() + Number(wait ?? DEFAULT_WAIT_MS);
    while (condition() && performance.now() < deadline) {
      const remainingMs = Math.max(0, deadline - performance.now());
      // eslint-disable-next-line no-await-in-loop -- waits for one change after the other
      await this.waitForChange(remainingMs);
    }
  }

  /** Lets every query look again. */
  wakeAll(): void {
    [...this.waiters].forEach((wake) => wake());
  }

  private waitForChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- set before any wake
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, timeoutMs);
      this.waiters.add(wake);
    });
  }
}
