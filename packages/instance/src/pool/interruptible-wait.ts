/** Waits that end early when they are interrupted. */
export class InterruptibleWait {
  private readonly interrupts = new Set<() => void>();

  /** Resolves once the promise has resolved or the wait is interrupted. */
  async waitFor(promise: Promise<void> | undefined): Promise<void> {
    let interrupt = (): void => {};
    const interrupted = new Promise<void>((resolve) => {
      interrupt = resolve;
    });
    this.interrupts.add(interrupt);
    await Promise.race([promise, interrupted]);
    this.interrupts.delete(interrupt);
  }

  /** Ends all present waits. */
  endWaits(): void {
    this.interrupts.forEach((interrupt) => interrupt());
  }
}
