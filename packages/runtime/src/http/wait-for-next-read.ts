/** Waits until the event loop has read once more from the connections. */
export async function waitForNextRead(): Promise<void> {
  // The first callback runs before the next poll for events, the second one after it.
  await new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });
}
