import type { IncarnationId } from '../ids/incarnation-id';
import type { LoanId } from '../ids/loan-id';
import type { Flow } from '../queue/flow';
import type { FlowSource } from './flow-source';
import type { LimitAmount } from './limit-amount';
import type { LoanGrant } from './loan-grant';
import type { LoanRequest } from './loan-request';
import type { ReturnLoanEffect } from './return-loan-effect';

/** How long a borrower may use a loan, counted from the moment at which it asked. */
const LOAN_TERM_MS = 1_000;
/** Clocks may run apart by this part over a term. */
const MAX_CLOCK_DRIFT_FRACTION = 0.05;
/** A lender keeps this multiple of the rate that it used lately. */
const RATE_HEADROOM_FACTOR = 1.5;
/**
 * A lender that holds several tasks' parts keeps this many: a borrower that dies or freezes holds
 * the others until the leases of its tasks have ended.
 */
const MIN_KEPT_RUNNING = 1;
/** A lender keeps this part of its rate, for the same reason. */
const MIN_KEPT_RATE_FRACTION = 0.1;
/** A part that is kept free for a peer without any is kept until the peer must have asked again. */
const RESERVATION_MS = 200;
/** A busy lender gives its last part away at most once in this time. */
const LAST_UNIT_INTERVAL_MS = 2 * LOAN_TERM_MS;

/** Stands for the peer that will ask again for a part that is kept for it. */
const RESERVATION_ID = 'reserved' as LoanId;

/** Gives a part away and describes it to the borrower. */
function lendUntil(flow: Flow, id: LoanId, amount: LimitAmount, untilMs: number): LoanGrant {
  flow.allocation.lendAmount(id, amount, untilMs);
  return { id, amount, termMs: LOAN_TERM_MS };
}

/** Lends what this dispatcher does not need of its parts of limits, for a short term. */
export class LimitLender {
  /** When a flow's last part was given to a peer without any. */
  private readonly lastUnitLentAtMs = new Map<Flow, number>();

  private lastLoanNumber = 0;

  constructor(
    private readonly self: IncarnationId,
    private readonly flows: FlowSource,
  ) {}

  /** Answers a peer's request; undefined if nothing can be lent. */
  handleRequest(request: LoanRequest, nowMs: number): LoanGrant | undefined {
    const flow = this.flows.findFlow(request);
    if (flow === undefined || request.revision !== this.flows.readRevision()) {
      return undefined;
    }
    // A task that starts at the end of the term holds the part until its lease ends.
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

  /** Takes back a part that its borrower does not use any more. */
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

  /** Chooses how much of what is wanted this dispatcher can do without. */
  private chooseAmount(flow: Flow, { wanted, holdsNone }: LoanRequest, nowMs: number): LimitAmount {
    const usable = flow.allocation.computeUsable(nowMs);
    const hasBorrowed = flow.allocation.listActiveBorrowedLoans(nowMs).length > 0;
    if (hasBorrowed) {
      // A part that is lent on would come back too late to its owner.
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
   * Gives one task's part to a peer that holds none, although tasks wait here too. While all parts
   * are in use, the next one that comes free is kept for the peer, which asks again.
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
