import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { ClaimResult } from '@guavaspindle/platform/ledger/claim-result';
import { IdempotencyLedger } from '@guavaspindle/platform/ledger/idempotency-ledger';
import type { LedgerClaim } from '@guavaspindle/platform/ledger/ledger-claim';
import * as fc from 'fast-check';
import { FakeClock } from './fixtures/fake-clock';
import { FakeStore } from './fixtures/fake-store';
import type { StoreFault } from './fixtures/store-fault';

const SEED = 20_261_204;
const SCHEDULE_COUNT = 2_000;
const RETENTION_MS = 10_000_000;
const BATCHES_PER_SECOND = 40;
const KEYS = ['00000000aa', '00000000bb'];

const faults = fc.array(
  fc.constantFrom<StoreFault>('ok', 'ok', 'ok', 'lost', 'late', 'cut', 'not-sent'),
  { maxLength: 60 },
);

const claimers = fc.array(
  fc.record({ dispatcher: fc.nat(2), key: fc.nat(KEYS.length - 1), isConcurrent: fc.boolean() }),
  { minLength: 1, maxLength: 10 },
);

/** A claim and its result. */
interface SettledClaim {
  readonly claim: LedgerClaim;
  readonly result: ClaimResult;
}

/** Builds a claim with a unique job id. */
function buildClaim(key: string, number: number): LedgerClaim {
  return { key, jobId: `job-${number}` as JobId, bodyHash: 'hash', claimedAtMs: 1_000 };
}

/** Lists the jobs that any result or the store names as the owner of a key. */
function listOwners(
  key: string,
  settled: readonly SettledClaim[],
  stored: LedgerClaim[],
): Set<JobId> {
  const owners = new Set(stored.filter((claim) => claim.key === key).map((claim) => claim.jobId));
  settled
    .filter(({ claim }) => claim.key === key)
    .forEach(({ claim, result }) => {
      if (result.type === 'claimed') {
        owners.add(claim.jobId);
      } else if (result.type === 'taken') {
        owners.add(result.claim.jobId);
      }
    });
  return owners;
}

describe('IdempotencyLedger under generated store faults', () => {
  it(`never gives a key two owners (${SCHEDULE_COUNT} schedules)`, async () => {
    await fc.assert(
      fc.asyncProperty(faults, claimers, async (schedule, claims) => {
        const store = new FakeStore(schedule);
        const ledgers = [0, 1, 2].map(
          () => new IdempotencyLedger(store, new FakeClock(), RETENTION_MS, BATCHES_PER_SECOND),
        );
        const pendingClaims: Promise<SettledClaim>[] = [];
        for (const [number, { dispatcher, key, isConcurrent }] of claims.entries()) {
          const claim = buildClaim(KEYS[key]!, number);
          const settled = ledgers[dispatcher]!.claimKey(claim).then((result) => ({
            claim,
            result,
          }));
          pendingClaims.push(settled);
          if (!isConcurrent) {
            // eslint-disable-next-line no-await-in-loop -- claims that are not concurrent wait for the previous one
            await settled;
          }
        }
        const settled = await Promise.all(pendingClaims);
        const stored = store
          .listKeys()
          .flatMap((key) => JSON.parse(store.readSettledText(key) ?? '[]') as LedgerClaim[]);
        KEYS.forEach((key) => {
          expect(listOwners(key, settled, stored).size).toBeLessThanOrEqual(1);
        });
      }),
      { seed: SEED, numRuns: SCHEDULE_COUNT },
    );
  });

  it('writes concurrent claims in one batch', async () => {
    const store = new FakeStore([]);
    const write = jest.spyOn(store, 'compareAndSet');
    const ledger = new IdempotencyLedger(store, new FakeClock(), RETENTION_MS, BATCHES_PER_SECOND);
    const claims = Array.from({ length: 100 }, (_unused, number) =>
      ledger.claimKey(buildClaim(`00000000${number}`, number)),
    );
    const results = await Promise.all(claims);
    expect(results.every(({ type }) => type === 'claimed')).toBe(true);
    expect(write.mock.calls.length).toBeLessThanOrEqual(2);
  });

  it('does not exceed the rate limit of writes to the store', async () => {
    const store = new FakeStore([]);
    const write = jest.spyOn(store, 'compareAndSet');
    const clock = new FakeClock();
    const ledger = new IdempotencyLedger(store, clock, RETENTION_MS, BATCHES_PER_SECOND);
    const startedAtMs = clock.now();
    for (let number = 0; number < 100; number += 1) {
      const digest = `${number.toString(16).padStart(8, '0')}${number}`;
      // eslint-disable-next-line no-await-in-loop -- each claim gets its own batch
      await ledger.claimKey(buildClaim(digest, number));
    }
    const seconds = (clock.now() - startedAtMs) / 1_000;
    // The token bucket allows a burst of 0.1 s worth of batches.
    const allowed = BATCHES_PER_SECOND * (seconds + 0.1) + 1;
    expect(write.mock.calls.length).toBe(100);
    expect(write.mock.calls.length).toBeLessThanOrEqual(allowed);
  });
});
