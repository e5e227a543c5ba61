import type { IncarnationId } from '@guavaspindle/kernel/ids/incarnation-id';
import type { LoanId } from '@guavaspindle/kernel/ids/loan-id';
import { LimitAllocation } from '@guavaspindle/kernel/limits/limit-allocation';
import { TokenBucket } from '@guavaspindle/kernel/limits/token-bucket';

const LOAN = 'lender/1' as LoanId;
const LENDER = 'lender' as IncarnationId;
const PART = { running: 3, perSecond: 30 };

/** Builds an allocation with a fixed share of 10 running tasks and 100 starts per second. */
function buildAllocation(): LimitAllocation {
  const allocation = new LimitAllocation();
  allocation.setFixedShare({ running: 10, perSecond: 100 });
  return allocation;
}

describe('LimitAllocation', () => {
  it.each([
    ['just lent', 0, 7],
    ['just before the loan ends', 99, 7],
    ['after the loan has ended', 100, 10],
  ])('subtracts a lent part until the loan ends: %s', (_name, nowMs, expected) => {
    const allocation = buildAllocation();
    allocation.lendAmount(LOAN, PART, 100);
    expect(allocation.computeUsable(nowMs).running).toBe(expected);
  });

  it.each([
    ['within its term', 99, 13],
    ['after its term', 100, 10],
  ])('adds a borrowed part during its term: %s', (_name, nowMs, expected) => {
    const allocation = buildAllocation();
    allocation.addBorrowedLoan(LOAN, { lender: LENDER, amount: PART, untilMs: 100 });
    expect(allocation.computeUsable(nowMs).running).toBe(expected);
  });

  it.each([
    ['during its term', (_allocation: LimitAllocation) => undefined, 50, 13],
    [
      'after it was expired',
      (allocation: LimitAllocation) => allocation.expireBorrowedLoans(),
      50,
      10,
    ],
    ['after its term', (_allocation: LimitAllocation) => undefined, 100, 10],
    [
      'after it was returned',
      (allocation: LimitAllocation) => {
        allocation.expireBorrowedLoans();
        allocation.takeReturnableLoans(0, 50);
      },
      50,
      10,
    ],
    [
      'after the fixed share changed',
      (allocation: LimitAllocation) => allocation.setFixedShare({ running: 10, perSecond: 50 }),
      50,
      10,
    ],
  ])(
    'renews a borrowed part only while it is active: %s',
    (_name, change, renewedAtMs, expected) => {
      const allocation = buildAllocation();
      allocation.addBorrowedLoan(LOAN, { lender: LENDER, amount: PART, untilMs: 100 });
      change(allocation);
      allocation.renewBorrowedLoan(LOAN, 1_000, renewedAtMs);
      expect(allocation.computeUsable(500).running).toBe(expected);
    },
  );

  it('keeps borrowed parts when the same fixed share is set again', () => {
    const allocation = buildAllocation();
    allocation.addBorrowedLoan(LOAN, { lender: LENDER, amount: PART, untilMs: 100 });
    allocation.setFixedShare({ running: 10, perSecond: 100 });
    expect(allocation.computeUsable(50).running).toBe(13);
  });

  it('returns expired parts only when the running tasks fit into the rest', () => {
    const allocation = buildAllocation();
    allocation.addBorrowedLoan(LOAN, { lender: LENDER, amount: PART, untilMs: 100 });
    expect(allocation.takeReturnableLoans(11, 100)).toEqual([]);
    expect(allocation.takeReturnableLoans(10, 100)).toEqual([{ id: LOAN, lender: LENDER }]);
    expect(allocation.takeReturnableLoans(10, 100)).toEqual([]);
  });
});

describe('TokenBucket, when the rate changes', () => {
  it('adds no tokens at the new rate for the time before the change', () => {
    const bucket = new TokenBucket(0);
    expect(bucket.hasToken(0)).toBe(false);
    bucket.setRate(1_000, 10_000);
    expect(bucket.hasToken(10_000)).toBe(false);
    expect(bucket.hasToken(10_002)).toBe(true);
  });

  it('drops tokens in excess of the new burst size', () => {
    const bucket = new TokenBucket(1_000);
    bucket.takeToken(0);
    bucket.setRate(10, 10_000);
    expect(bucket.takeToken(10_000)).toBe(true);
    expect(bucket.takeToken(10_000)).toBe(false);
  });
});
