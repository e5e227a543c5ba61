/* eslint-disable no-await-in-loop -- one run of the mirror after the other on one clock */
import { createLogger } from 'bunyan';
import { systemClock } from '@guavaspindle/kernel/time/system-clock';
import type { StoreClient } from '@guavaspindle/platform-adapter/store/store-client';
import { mirrorTiming } from '../src/store/mirror-timing';
import { PrefixMirror } from '../src/store/prefix-mirror';
import { InterruptedStore } from './fixtures/interrupted-store';

/** A change has to be in force this long after the store has acknowledged it. */
const APPLY_MS = 2_000;
const OUTAGE_STEP_MS = 50;

/** Measures the time from the end of an outage, in which a change was made, until a mirror reports it. */
async function measureDelayMs(outageMs: number, isHistoryLost: boolean): Promise<number> {
  const store = new InterruptedStore();
  let reportedAtMs = Infinity;
  const mirror = new PrefixMirror(
    {
      prefix: 'op/config',
      store: store as unknown as StoreClient,
      clock: systemClock,
      log: createLogger({ name: 'test', level: 'fatal' }),
      watchPauseMs: 0,
      maxRetryDelayMs: mirrorTiming.maxConfigurationRetryDelayMs,
    },
    {
      onSnapshot: ({ revision }) => {
        reportedAtMs = revision > 1 ? Math.min(reportedAtMs, systemClock.now()) : Infinity;
      },
      onEvents: () => {
        reportedAtMs = Math.min(reportedAtMs, systemClock.now());
      },
    },
  );
  void mirror.run();
  await jest.advanceTimersByTimeAsync(1_000);
  store.beginOutage();
  await jest.advanceTimersByTimeAsync(outageMs);
  store.endOutage();
  store.writeKey();
  if (isHistoryLost) {
    store.forgetHistory();
  }
  const endedAtMs = systemClock.now();
  await jest.advanceTimersByTimeAsync(5_000);
  mirror.close();
  await jest.advanceTimersByTimeAsync(2_000);
  return reportedAtMs - endedAtMs;
}

describe('PrefixMirror', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against timeouts and pauses of failed calls that add up to more than the time allowed.
  it.each([
    ['', false],
    [' and the loss of the history', true],
  ])(
    'reports a change made at the end of an outage%s within two seconds, whatever its length',
    async (_text, isHistoryLost) => {
      const delays: number[] = [];
      for (let outageMs = 0; outageMs <= 8_000; outageMs += OUTAGE_STEP_MS) {
        delays.push(await measureDelayMs(outageMs, isHistoryLost));
      }
      expect(Math.max(...delays)).toBeLessThan(APPLY_MS);
    },
  );
});
