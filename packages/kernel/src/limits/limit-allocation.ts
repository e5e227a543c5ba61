import type { IncarnationId } from '../ids/incarnation-id';
import type { LoanId } from '../ids/loan-id';
import type { LimitAmount } from './limit-amount';

const ZERO_AMOUNT: LimitAmount = { running: 0, perSecond: 0 };

/**
 * A part lent to a peer. It counts as lent until it is returned, or until the time from which the
 * borrower certainly does not use it.
 */
interface LentLoan {
  readonly amount: LimitAmount;
  readonly untilMs: number;
}

/** A part borrowed from a peer. It counts only until the end of its term. */
interface BorrowedLoan {
  readonly lender: IncarnationId;
  readonly amount: LimitAmount;
  readonly untilMs: number;
}

/** A borrowed part that is no longer used and can be returned. */
interface ReturnableLoan {
  readonly id: LoanId;
  readonly lender: IncarnationId;
}

/** Computes the sum of amounts. */
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
 * One dispatcher's allocation of a flow's limits: its fixed share, minus the parts that it lent, plus
 * the parts that it borrowed. While the fixed shares do not change, the allocations of all
 * dispatchers never add up to more than the limit, because a lender subtracts a loan before the
 * borrower learns of it, and for longer than the borrower may use it.
 */
export class LimitAllocation {
  private fixedShare: LimitAmount = ZERO_AMOUNT;

  private readonly lentLoans = new Map<LoanId, LentLoan>();

  private readonly borrowedLoans = new Map<LoanId, BorrowedLoan>();

  /** Sets the fixed share. If it changes, all borrowed loans expire. */
  setFixedShare(fixedShare: LimitAmount): void {
    if (
      fixedShare.running !== this.fixedShare.running ||
      fixedShare.perSecond !== this.fixedShare.perSecond
    ) {
      this.fixedShare = fixedShare;
      this.expireBorrowedLoans();
    }
  }

  /** Returns the fixed share, regardless of loans. */
  readFixedShare(): LimitAmount {
    return this.fixedShare;
  }

  /**
   * Computes the amount that this dispatcher may use now. Removes the lent parts whose time has ended.
   */
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

  /** Records a part as lent, or extends the time of an existing loan. */
  lendAmount(id: LoanId, amount: LimitAmount, untilMs: number): void {
    this.lentLoans.set(id, { amount, untilMs });
  }

  /** Finds a lent part; undefined if it was returned, or removed after its time ended. */
  findLentLoan(id: LoanId): LentLoan | undefined {
    return this.lentLoans.get(id);
  }

  /** Ends a loan that the borrower returned. */
  reclaimLoan(id: LoanId): void {
    this.lentLoans.delete(id);
  }

  /** Adds a part borrowed from a peer. */
  addBorrowedLoan(id: LoanId, loan: BorrowedLoan): void {
    this.borrowedLoans.set(id, loan);
  }

  /**
   * Extends the term of a borrowed part. An expired one is not extended, because the lender may
   * already use it again.
   */
  renewBorrowedLoan(id: LoanId, untilMs: number, nowMs: number): void {
    const loan = this.borrowedLoans.get(id);
    if (loan !== undefined && loan.untilMs > nowMs) {
      this.borrowedLoans.set(id, { ...loan, untilMs });
    }
  }

  /** Lists the borrowed parts whose term has not ended. */
  listActiveBorrowedLoans(nowMs: number): [LoanId, BorrowedLoan][] {
    return [...this.borrowedLoans].filter(([, { untilMs }]) => untilMs > nowMs);
  }

  /** Ends the terms of all borrowed parts at once. */
  expireBorrowedLoans(): void {
    this.borrowedLoans.forEach((loan, id) =>
      this.borrowedLoans.set(id, { ...loan, untilMs: -Infinity }),
    );
  }

  /**
   * Removes and returns the borrowed parts that can be returned to their lenders: all expired ones,
   * once the running tasks fit into what remains usable.
   *
   * @param running - number of running tasks of the flow
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
