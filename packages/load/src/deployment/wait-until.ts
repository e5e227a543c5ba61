const POLL_MS = 50;

/** Polls until the test holds; rejects with what was waited for after the time limit. */
export async function waitUntil(
  what: string,
  limitMs: number,
  test: () => Promise<boolean>,
): Promise<void> {
  const endAt = performance.now() + limitMs;
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- polls one after the other
    if (await test().catch(() => false)) {
      return;
    }
    if (performance.now() > endAt) {
      throw new Error(`Timed out after ${limitMs} ms: ${what}.`);
    }
    // eslint-disable-next-line no-await-in-loop -- polls one after the other
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
}
