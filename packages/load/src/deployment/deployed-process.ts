import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';

/** One process of the deployment, started by this development tool. */
export class DeployedProcess {
  private child: ChildProcess;

  private stderr = '';

  /**
   * @param script - the binary's JavaScript file
   * @param settings - its settings file
   * @param output - where its standard output goes: a file descriptor; nowhere by default
   * @param nodeOptions - options of the runtime
   */
  constructor(
    private readonly script: string,
    private readonly settings: string,
    private readonly output: number | 'ignore' = 'ignore',
    private readonly nodeOptions: readonly string[] = [],
  ) {
    this.child = this.spawnChild();
  }

  /** The operating system's process id. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** The exit code, or null while it runs or if a signal ended it. */
  get exitCode(): number | null {
    return this.child.exitCode;
  }

  /** Tells whether the process has ended, by itself or by a signal. */
  get hasEnded(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /** What the process wrote to standard error. */
  get errors(): string {
    return this.stderr;
  }

  /** Sends a signal. */
  sendSignal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Waits until the process has ended; returns its exit code. */
  async waitForExit(): Promise<number | null> {
    if (!this.hasEnded) {
      await once(this.child, 'exit');
    }
    return this.child.exitCode;
  }

  /** Ends the process at once, also if it is frozen. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.waitForExit();
  }

  /** Starts the same binary again after it has ended. */
  restart(): void {
    this.child = this.spawnChild();
  }

  private spawnChild(): ChildProcess {
    const args = [...this.nodeOptions, this.script, '--settings', this.settings];
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', this.output, 'pipe'],
    });
    child.stderr!.on('data', (chunk: Buffer) => {
      this.stderr += chunk.toString('utf8');
    });
    return child;
  }
}
