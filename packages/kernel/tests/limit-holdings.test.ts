import type { IncarnationId } from '@guavaspindle/kernel/ids/incarnation-id';
import type { LoanId } from '@guavaspindle/kernel/ids/loan-id';
import { LimitAllocation } from '@guavaspindle/kernel/limits/limit-allocation';
import { TokenBucket } from '@guavaspindle/kernel/limits/token-bucket';

const LOAN = 'lender/1' as LoanId;
const LENDER = 'lender' as IncarnationId;
const PART = { running: 3, perSecond: 30 };

/** Builds holdings of 10 tasks and 100 starts a second. */
function buildHoldings(): LimitAllocation {
  const holdings = new LimitAllocation();
  holdings.setFixedShare({ running: 10, perSecond: 100 });
  return holdings;
}

describe('parts of a limit', () => {
  it.each([
    ['lent', 0, 7],
    ['lent, until the last moment', 99, 7],
    ['lent, and surely out of use', 100, 10],
  ])('count as gone while they are lent: %s', (_name, nowMs, expected) => {
    const holdings = buildHoldings();
    holdings.lendAmount(LOAN, PART, 100);
    expect(holdings.computeUsable(nowMs).running).toBe(expected);
  });

  it.each([
    ['in its term', 99, 13],
    ['after its term', 100, 10],
  ])('count while they are borrowed: %s', (_name, nowMs, expected) => {
    const holdings = buildHoldings();
    holdings.addBorrowedLoan(LOAN, { lender: LENDER, amount: PART, untilMs: 100 });
    expect(holdings.computeUsable(nowMs).running).toBe(expected);
  });

  it.each([
    ['while it is in use', (_holdings: LimitAllocation) => undefined, 50, 13],
    ['after its use ended', (holdings: LimitAllocation) => holdings.expireBorrowedLoans(), 50, 10],
    ['after its term', (_holdings: LimitAllocation) => undefined, 100, 10],
    [
      'after it went back',
      (holdings: LimitAllocation) => {
        holdings.expireBorrowedLoans();
        holdings.takeReturnableLoans(0, 50);
      },
      50,
      10,
    ],
    [
      'after another limit came into force',
      (holdings: LimitAllocation) => holdings.setFixedShare({ running: 10, perSecond: 50 }),
      50,
      10,
    ],
  ])('get more time only while in use: %s', (_name, change, renewedAtMs, expected) => {
    const holdings = buildHoldings();
    holdings.addBorrowedLoan(LOAN, { lender: LENDER, amount: PART, untilMs: 100 });
    change(holdings);
    holdings.renewBorrowedLoan(LOAN, 1_000, renewedAtMs);
    expect(holdings.computeUsable(500).running).toBe(expected);
  });

  it('stay in use when the same limit comes into force again', () => {
    const holdings = buildHoldings();
    holdings.addBorrowedLoan(LOAN, { lender: LENDER, amount: PART, untilMs: 100 });
    holdings.setFixedShare({ running: 10, perSecond: 100 });
    expect(holdings.computeUsable(50).running).toBe(13);
  });

  it('go back only when what runs fits into the rest', () => {
    const holdings = buildHoldings();
    holdings.addBorrowedLoan(LOAN, { lender: LENDER, amount: PART, untilMs: 100 });
    expect(holdings.takeReturnableLoans(11, 100)).toEqual([]);
    expect(holdings.takeReturnableLoans(10, 100)).toEqual([{ id: LOAN, lender: LENDER }]);
    expect(holdings.takeReturnableLoans(10, 100)).toEqual([]);
  });
});

describe('a rate that changes', () => {
  it('earns nothing at the new rate for the time before', () => {
    const bucket = new TokenBucket(0);
    expect(bucket.hasToken(0)).toBe(false);
    bucket.setRate(1_000, 10_000);
    expect(bucket.hasToken(10_000)).toBe(false);
    expect(bucket.hasToken(10_002)).toBe(true);
  });

  it('loses what is saved beyond the new burst', () => {
    const bucket = new TokenBucket(1_000);
    bucket.takeToken(0);
    bucket.setRate(10, 10_000);
    expect(bucket.takeToken(10_000)).toBe(true);
    expect(bucket.takeToken(10_000)).toBe(false);
  });
});
