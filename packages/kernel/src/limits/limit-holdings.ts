import type { IncarnationId } from '../ids/incarnation-id';
import type { LoanId } from '../ids/loan-id';
import type { LimitAmount } from './limit-amount';

const NOTHING: LimitAmount = { running: 0, perSecond: 0 };

/** A part given away; it counts as given until it is returned or surely out of use. */
interface LentLoan {
  readonly amount: LimitAmount;
  readonly untilMs: number;
}

/** A part taken; it counts only while its term lasts. */
interface BorrowedLoan {
  readonly lender: IncarnationId;
  readonly amount: LimitAmount;
  readonly untilMs: number;
}

/** A borrowed part that is no longer used and can go back. */
interface ReturnableLoan {
  readonly id: LoanId;
  readonly lender: IncarnationId;
}

/** Adds amounts up. */
function addAmounts(amounts: readonly LimitAmount[]): LimitAmount {
  return amounts.reduce(
    (sum, { running, perSecond }) => ({
      running: sum.running + running,
      perSecond: sum.perSecond + perSecond,
    }),
    NOTHING,
  );
}

/**
 * One dispatcher's part of a flow's limits: its fixed part, less what it lent, plus what it
 * borrowed. The parts of all dispatchers never add up to more than the limit: a lender counts a
 * part as gone before the borrower hears of it, and for longer than the borrower may use it.
 */
export class LimitHoldings {
  private base: LimitAmount = NOTHING;

  private readonly lent = new Map<LoanId, LentLoan>();

  private readonly borrowed = new Map<LoanId, BorrowedLoan>();

  /** Sets the fixed part. Parts borrowed under another one are not used any more. */
  setBase(base: LimitAmount): void {
    if (base.running !== this.base.running || base.perSecond !== this.base.perSecond) {
      this.base = base;
      this.endLoans();
    }
  }

  /** The fixed part, whatever is lent or borrowed. */
  readBase(): LimitAmount {
    return this.base;
  }

  /** Computes what this dispatcher may use now. */
  computeHeld(nowMs: number): LimitAmount {
    if (this.lent.size === 0 && this.borrowed.size === 0) {
      return this.base;
    }
    this.lent.forEach((loan, id) => {
      if (loan.untilMs <= nowMs) {
        this.lent.delete(id);
      }
    });
    const gone = addAmounts([...this.lent.values()].map(({ amount }) => amount));
    const usable = [...this.borrowed.values()].filter(({ untilMs }) => untilMs > nowMs);
    const added = addAmounts(usable.map(({ amount }) => amount));
    return {
      running: Math.max(0, this.base.running - gone.running) + added.running,
      perSecond: Math.max(0, this.base.perSecond - gone.perSecond) + added.perSecond,
    };
  }

  /** Gives a part away, or more time for one that is away. */
  lendAmount(id: LoanId, amount: LimitAmount, untilMs: number): void {
    this.lent.set(id, { amount, untilMs });
  }

  /** Finds a part that is away; undefined if it came back. */
  findLent(id: LoanId): LentLoan | undefined {
    return this.lent.get(id);
  }

  /** Takes back a part that the borrower returned. */
  takeBack(id: LoanId): void {
    this.lent.delete(id);
  }

  /** Adds a part that a peer lent. */
  addBorrowed(id: LoanId, loan: BorrowedLoan): void {
    this.borrowed.set(id, loan);
  }

  /** Gives a borrowed part more time, unless its use has ended: it may be back already. */
  renewBorrowed(id: LoanId, untilMs: number, nowMs: number): void {
    const loan = this.borrowed.get(id);
    if (loan !== undefined && loan.untilMs > nowMs) {
      this.borrowed.set(id, { ...loan, untilMs });
    }
  }

  /** Borrowed parts that are still in use. */
  listBorrowed(nowMs: number): [LoanId, BorrowedLoan][] {
    return [...this.borrowed].filter(([, { untilMs }]) => untilMs > nowMs);
  }

  /** Stops the use of all borrowed parts. */
  endLoans(): void {
    this.borrowed.forEach((loan, id) => this.borrowed.set(id, { ...loan, untilMs: -Infinity }));
  }

  /**
   * Takes out the borrowed parts that may go back: out of use, and not needed for what runs.
   *
   * @param running - tasks of the flow that run now
   */
  takeReturnable(running: number, nowMs: number): ReturnableLoan[] {
    const ended = [...this.borrowed].filter(([, { untilMs }]) => untilMs <= nowMs);
    if (ended.length === 0 || running > this.computeHeld(nowMs).running) {
      return [];
    }
    ended.forEach(([id]) => this.borrowed.delete(id));
    return ended.map(([id, { lender }]) => ({ id, lender }));
  }
}
