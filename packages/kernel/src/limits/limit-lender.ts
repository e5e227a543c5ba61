import type { IncarnationId } from '../ids/incarnation-id';
import type { LoanId } from '../ids/loan-id';
import type { Flow } from '../queue/flow';
import type { FlowSource } from './flow-source';
import type { LimitAmount } from './limit-amount';
import type { LoanGrant } from './loan-grant';
import type { LoanRequest } from './loan-request';
import type { ReturnLoanEffect } from './return-loan-effect';

/** How long a borrower may use a loan, counted from its request. */
const LOAN_TERM_MS = 1_000;
/** Largest difference of two clocks over a term, as a fraction of the term. */
const MAX_CLOCK_DRIFT_FRACTION = 0.05;
/** A lender keeps this multiple of its recent rate of starts. */
const RATE_HEADROOM_FACTOR = 1.5;
/**
 * A lender whose fixed share exceeds this number of running tasks keeps this many, because a borrower
 * that crashes or freezes blocks the lent ones until the leases of its tasks have ended.
 */
const MIN_KEPT_RUNNING = 1;
/** A lender keeps at least this fraction of its fixed share of the rate, for the same reason. */
const MIN_KEPT_RATE_FRACTION = 0.1;
/** How long a unit is reserved for a peer that has none; the peer repeats its request within it. */
const RESERVATION_MS = 200;
/** A lender without spare units lends its last unit of a flow at most once in this time. */
const LAST_UNIT_INTERVAL_MS = 2 * LOAN_TERM_MS;

/** Loan id under which a unit is reserved until the peer that needs it repeats its request. */
const RESERVATION_ID = 'reserved' as LoanId;

/** Records a part as lent and builds the grant for the borrower. */
function lendUntil(flow: Flow, id: LoanId, amount: LimitAmount, untilMs: number): LoanGrant {
  flow.allocation.lendAmount(id, amount, untilMs);
  return { id, amount, termMs: LOAN_TERM_MS };
}

/**
 * Lends the parts of limits that this dispatcher does not need to peers, for a short term.
 *
 * A unit is the permission to run one task.
 */
export class LimitLender {
  /** When the last unit of a flow was lent to a peer that had none. */
  private readonly lastUnitLentAtMs = new Map<Flow, number>();

  private lastLoanNumber = 0;

  constructor(
    private readonly self: IncarnationId,
    private readonly flows: FlowSource,
  ) {}

  /** Handles a loan request; returns undefined if nothing is lent. */
  handleRequest(request: LoanRequest, nowMs: number): LoanGrant | undefined {
    const flow = this.flows.findFlow(request);
    if (flow === undefined || request.revision !== this.flows.readRevision()) {
      return undefined;
    }
    // A task that starts at the end of the term uses the part until its lease ends.
    const untilMs = nowMs + LOAN_TERM_MS * (1 + MAX_CLOCK_DRIFT_FRACTION) + flow.maxLeaseMs;
    if (request.renews !== undefined) {
      return LimitLender.renewLoan(flow, request.renews, untilMs);
    }
    const amount = this.chooseAmount(flow, request, nowMs);
    if (amount.running <= 0 && amount.perSecond <= 0) {
      return undefined;
    }
    this.lastLoanNumber += 1;
    return lendUntil(flow, `${this.self}/${this.lastLoanNumber}` as LoanId, amount, untilMs);
  }

  /** Ends a loan that its borrower returned. */
  reclaimLoan({ caller, kind, loan }: Pick<ReturnLoanEffect, 'caller' | 'kind' | 'loan'>): void {
    [...this.flows.listFlows()]
      .find((flow) => flow.caller === caller && flow.kind === kind)
      ?.allocation.reclaimLoan(loan);
  }

  private static renewLoan(flow: Flow, id: LoanId, untilMs: number): LoanGrant | undefined {
    const lent = flow.allocation.findLentLoan(id);
    return lent === undefined || flow.waiting > 0
      ? undefined
      : lendUntil(flow, id, lent.amount, untilMs);
  }

  /** Computes how much of the wanted amount this dispatcher can lend. */
  private chooseAmount(flow: Flow, { wanted, holdsNone }: LoanRequest, nowMs: number): LimitAmount {
    const usable = flow.allocation.computeUsable(nowMs);
    const hasBorrowed = flow.allocation.listActiveBorrowedLoans(nowMs).length > 0;
    if (hasBorrowed) {
      // Lending while borrowing could pass on a borrowed part, which its owner would get back too late.
      return { running: 0, perSecond: 0 };
    }
    const fixedShare = flow.allocation.readFixedShare();
    const kept = fixedShare.running > MIN_KEPT_RUNNING ? MIN_KEPT_RUNNING : 0;
    const spareRunning = usable.running - Math.max(kept, flow.running + flow.waiting);
    const keptRate = Math.max(
      fixedShare.perSecond * MIN_KEPT_RATE_FRACTION,
      flow.computeStartRate(nowMs) * RATE_HEADROOM_FACTOR,
    );
    const spareRate = flow.waiting > 0 ? 0 : usable.perSecond - keptRate;
    const running = Math.max(0, Math.floor(Math.min(wanted.running, spareRunning)));
    const perSecond = Math.max(0, Math.min(wanted.perSecond, spareRate));
    const needsLastUnit = holdsNone && wanted.running > 0 && running === 0;
    return { running: needsLastUnit ? this.lendLastUnit(flow, nowMs) : running, perSecond };
  }

  /**
   * Lends one unit to a peer that has none, even if tasks wait here. If all units are in use, reserves
   * the next one that becomes free for the peer, which repeats its request.
   *
   * @returns the number of units to lend, 0 or 1
   */
  private lendLastUnit(flow: Flow, nowMs: number): number {
    const lastLentAtMs = this.lastUnitLentAtMs.get(flow) ?? -Infinity;
    if (nowMs - lastLentAtMs < LAST_UNIT_INTERVAL_MS) {
      return 0;
    }
    flow.allocation.reclaimLoan(RESERVATION_ID);
    if (flow.allocation.computeUsable(nowMs).running > flow.running) {
      this.lastUnitLentAtMs.set(flow, nowMs);
      return 1;
    }
    flow.allocation.lendAmount(
      RESERVATION_ID,
      { running: 1, perSecond: 0 },
      nowMs + RESERVATION_MS,
    );
    return 0;
  }
}
