const DEFAULT_WAIT_MS = 5_000;

/** Blocking queries that are waiting for a change of the key-value store or the instance list. */
export class BlockingQueries {
  private readonly waiters = new Set<() => void>();

  /**
   * Waits while the condition holds, at most for the query's `wait` parameter in milliseconds, such
   * as `500ms`; the default is 5 s.
   *
   * @param condition - returns true as long as there is no change to report to the query
   */
  async waitWhile(condition: () => boolean, url: URL): Promise<void> {
    const wait = /^(\d+)ms$/.exec(url.searchParams.get('wait') ?? '')?.[1];
    const deadline = performance.now() + Number(wait ?? DEFAULT_WAIT_MS);
    while (condition() && performance.now() < deadline) {
      const remainingMs = Math.max(0, deadline - performance.now());
      // eslint-disable-next-line no-await-in-loop -- each iteration waits for one change
      await this.waitForChange(remainingMs);
    }
  }

  /** Wakes every waiting query so that it evaluates its condition again. */
  wakeAll(): void {
    [...this.waiters].forEach((wake) => wake());
  }

  private waitForChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- set before wake runs
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, timeoutMs);
      this.waiters.add(wake);
    });
  }
}
