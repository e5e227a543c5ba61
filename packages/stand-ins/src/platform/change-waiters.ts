const DEFAULT_WAIT_MS = 5_000;

/** Blocking queries that wait for a change of the store or of the instance list. */
export class ChangeWaiters {
  private readonly waiters = new Set<() => void>();

  /**
   * Waits for a change while the test holds, up to the query's `wait`.
   *
   * @param test - tells whether the query still has nothing new to answer
   */
  async waitWhile(test: () => boolean, url: URL): Promise<void> {
    const wait = /^(\d+)ms$/.exec(url.searchParams.get('wait') ?? '')?.[1];
    const endAt = performance.now() + Number(wait ?? DEFAULT_WAIT_MS);
    while (test() && performance.now() < endAt) {
      const leftMs = Math.max(0, endAt - performance.now());
      // eslint-disable-next-line no-await-in-loop -- waits for one change after the other
      await this.waitForChange(leftMs);
    }
  }

  /** Lets every query look again. */
  wakeAll(): void {
    [...this.waiters].forEach((wake) => wake());
  }

  private waitForChange(maxMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- set before any wake
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, maxMs);
      this.waiters.add(wake);
    });
  }
}
