import type { IncarnationId } from '../ids/incarnation-id';
import type { LoanId } from '../ids/loan-id';
import type { LimitAmount } from './limit-amount';

const ZERO_AMOUNT: LimitAmount = { running: 0, perSecond: 0 };

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
    ZERO_AMOUNT,
  );
}

/**
 * One dispatcher's part of a flow's limits: its fixed part, less what it lent, plus what it
 * borrowed. The parts of all dispatchers never add up to more than the limit: a lender counts a
 * part as gone before the borrower hears of it, and for longer than the borrower may use it.
 */
export class LimitAllocation {
  private fixedShare: LimitAmount = ZERO_AMOUNT;

  private readonly lentLoans = new Map<LoanId, LentLoan>();

  private readonly borrowedLoans = new Map<LoanId, BorrowedLoan>();

  /** Sets the fixed part. Parts borrowed under another one are not used any more. */
  setFixedShare(fixedShare: LimitAmount): void {
    if (
      fixedShare.running !== this.fixedShare.running ||
      fixedShare.perSecond !== this.fixedShare.perSecond
    ) {
      this.fixedShare = fixedShare;
      this.expireBorrowedLoans();
    }
  }

  /** The fixed part, whatever is lent or borrowed. */
  readFixedShare(): LimitAmount {
    return this.fixedShare;
  }

  /** Computes what this dispatcher may use now. */
  computeUsable(nowMs: number): LimitAmount {
    if (this.lentLoans.size === 0 && this.borrowedLoans.size === 0) {
      return this.fixedShare;
    }
    this.lentLoans.forEach((loan, id) => {
      if (loan.untilMs <= nowMs) {
        this.lentLoans.delete(id);
      }
    });
    const lentAmount = addAmounts([...this.lentLoans.values()].map(({ amount }) => amount));
    const activeLoans = [...this.borrowedLoans.values()].filter(({ untilMs }) => untilMs > nowMs);
    const borrowedAmount = addAmounts(activeLoans.map(({ amount }) => amount));
    return {
      running: Math.max(0, this.fixedShare.running - lentAmount.running) + borrowedAmount.running,
      perSecond:
        Math.max(0, this.fixedShare.perSecond - lentAmount.perSecond) + borrowedAmount.perSecond,
    };
  }

  /** Gives a part away, or more time for one that is away. */
  lendAmount(id: LoanId, amount: LimitAmount, untilMs: number): void {
    this.lentLoans.set(id, { amount, untilMs });
  }

  /** Finds a part that is away; undefined if it came back. */
  findLentLoan(id: LoanId): LentLoan | undefined {
    return this.lentLoans.get(id);
  }

  /** Takes back a part that the borrower returned. */
  reclaimLoan(id: LoanId): void {
    this.lentLoans.delete(id);
  }

  /** Adds a part that a peer lent. */
  addBorrowedLoan(id: LoanId, loan: BorrowedLoan): void {
    this.borrowedLoans.set(id, loan);
  }

  /** Gives a borrowed part more time, unless its use has ended: it may be back already. */
  renewBorrowedLoan(id: LoanId, untilMs: number, nowMs: number): void {
    const loan = this.borrowedLoans.get(id);
    if (loan !== undefined && loan.untilMs > nowMs) {
      this.borrowedLoans.set(id, { ...loan, untilMs });
    }
  }

  /** Borrowed parts that are still in use. */
  listActiveBorrowedLoans(nowMs: number): [LoanId, BorrowedLoan][] {
    return [...this.borrowedLoans].filter(([, { untilMs }]) => untilMs > nowMs);
  }

  /** Stops the use of all borrowed parts. */
  expireBorrowedLoans(): void {
    this.borrowedLoans.forEach((loan, id) =>
      this.borrowedLoans.set(id, { ...loan, untilMs: -Infinity }),
    );
  }

  /**
   * Takes out the borrowed parts that may go back: out of use, and not needed for what runs.
   *
   * @param running - tasks of the flow that run now
   */
  takeReturnableLoans(running: number, nowMs: number): ReturnableLoan[] {
    const ended = [...this.borrowedLoans].filter(([, { untilMs }]) => untilMs <= nowMs);
    if (ended.length === 0 || running > this.computeUsable(nowMs).running) {
      return [];
    }
    ended.forEach(([id]) => this.borrowedLoans.delete(id));
    return ended.map(([id, { lender }]) => ({ id, lender }));
  }
}
