/** Waits on the clock of the machine, in milliseconds. */
export async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
