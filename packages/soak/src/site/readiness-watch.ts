import { request } from 'undici';

const POLL_MS = 1_000;
/** After so many misses an instance gets no new connections. */
const MOST_MISSES = 2;
const HTTP_OK = 200;

/** Polls the readiness of the instances, as the platform does, and tells where new connections go. */
export class ReadinessWatch {
  private readonly misses: number[];

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly addresses: readonly string[]) {
    this.misses = addresses.map(() => MOST_MISSES);
    this.timer = setInterval(() => {
      this.addresses.forEach((_address, index) => {
        void this.pollInstance(index);
      });
    }, POLL_MS);
  }

  /** Whether an instance gets new connections. */
  isInRotation(index: number): boolean {
    return this.misses[index]! < MOST_MISSES;
  }

  /** Ends the polls. */
  close(): void {
    clearInterval(this.timer);
  }

  private async pollInstance(index: number): Promise<void> {
    try {
      const { statusCode, body } = await request(`http://${this.addresses[index]!}/ready`, {
        signal: AbortSignal.timeout(POLL_MS),
        reset: true,
      });
      await body.dump();
      this.misses[index] = statusCode === HTTP_OK ? 0 : this.misses[index]! + 1;
    } catch {
      // No answer counts as a miss.
      this.misses[index]! += 1;
    }
  }
}
