import type { IncarnationId } from '../ids/incarnation-id';
import type { LoanId } from '../ids/loan-id';
import type { Flow } from '../queue/flow';
import type { FlowSource } from './flow-source';
import type { LimitAmount } from './limit-amount';
import type { LoanGrant } from './loan-grant';
import type { LoanRequest } from './loan-request';
import type { ReturnLoanEffect } from './return-loan-effect';

/** How long a borrower may use a loan, counted from the moment at which it asked. */
const TERM_MS = 1_000;
/** Clocks may run apart by this part over a term. */
const CLOCK_DRIFT_PART = 0.05;
/** A lender keeps this multiple of the rate that it used lately. */
const RATE_HEADROOM = 1.5;
/**
 * A lender that holds several tasks' parts keeps this many: a borrower that dies or freezes holds
 * the others until the leases of its tasks have ended.
 */
const KEPT_RUNNING = 1;
/** A lender keeps this part of its rate, for the same reason. */
const KEPT_RATE_PART = 0.1;
/** A part that is kept free for a peer without any is kept until the peer must have asked again. */
const RESERVE_MS = 200;
/** A busy lender gives its last part away at most once in this time. */
const LAST_PART_INTERVAL_MS = 2 * TERM_MS;

/** Stands for the peer that will ask again for a part that is kept for it. */
const RESERVED = 'reserved' as LoanId;

/** Gives a part away and describes it to the borrower. */
function lendUntil(flow: Flow, id: LoanId, amount: LimitAmount, untilMs: number): LoanGrant {
  flow.holdings.lendAmount(id, amount, untilMs);
  return { id, amount, termMs: TERM_MS };
}

/** Lends what this dispatcher does not need of its parts of limits, for a short term. */
export class LimitLender {
  /** When a flow's last part was given to a peer without any. */
  private readonly lastPartAtMs = new Map<Flow, number>();

  private lastLoan = 0;

  constructor(
    private readonly self: IncarnationId,
    private readonly flows: FlowSource,
  ) {}

  /** Answers a peer's request; undefined if nothing can be lent. */
  lendPart(request: LoanRequest, nowMs: number): LoanGrant | undefined {
    const flow = this.flows.findFlow(request);
    if (flow === undefined || request.revision !== this.flows.readRevision()) {
      return undefined;
    }
    // A task that starts at the end of the term holds the part until its lease ends.
    const untilMs = nowMs + TERM_MS * (1 + CLOCK_DRIFT_PART) + flow.maxLeaseMs;
    if (request.renews !== undefined) {
      return LimitLender.renewLoan(flow, request.renews, untilMs);
    }
    const amount = this.chooseAmount(flow, request, nowMs);
    if (amount.running <= 0 && amount.perSecond <= 0) {
      return undefined;
    }
    this.lastLoan += 1;
    return lendUntil(flow, `${this.self}/${this.lastLoan}` as LoanId, amount, untilMs);
  }

  /** Takes back a part that its borrower does not use any more. */
  takeBack({ caller, kind, loan }: Pick<ReturnLoanEffect, 'caller' | 'kind' | 'loan'>): void {
    [...this.flows.listFlows()]
      .find((flow) => flow.caller === caller && flow.kind === kind)
      ?.holdings.takeBack(loan);
  }

  private static renewLoan(flow: Flow, id: LoanId, untilMs: number): LoanGrant | undefined {
    const lent = flow.holdings.findLent(id);
    return lent === undefined || flow.waiting > 0
      ? undefined
      : lendUntil(flow, id, lent.amount, untilMs);
  }

  /** Chooses how much of what is wanted this dispatcher can do without. */
  private chooseAmount(flow: Flow, { wanted, holdsNone }: LoanRequest, nowMs: number): LimitAmount {
    const held = flow.holdings.computeHeld(nowMs);
    const borrows = flow.holdings.listBorrowed(nowMs).length > 0;
    if (borrows) {
      // A part that is lent on would come back too late to its owner.
      return { running: 0, perSecond: 0 };
    }
    const base = flow.holdings.readBase();
    const kept = base.running > KEPT_RUNNING ? KEPT_RUNNING : 0;
    const spareRunning = held.running - Math.max(kept, flow.running + flow.waiting);
    const usedRate = Math.max(
      base.perSecond * KEPT_RATE_PART,
      flow.computeRate(nowMs) * RATE_HEADROOM,
    );
    const spareRate = flow.waiting > 0 ? 0 : held.perSecond - usedRate;
    const running = Math.max(0, Math.floor(Math.min(wanted.running, spareRunning)));
    const perSecond = Math.max(0, Math.min(wanted.perSecond, spareRate));
    const needsLast = holdsNone && wanted.running > 0 && running === 0;
    return { running: needsLast ? this.lendLast(flow, nowMs) : running, perSecond };
  }

  /**
   * Gives one task's part to a peer that holds none, although tasks wait here too. While all parts
   * are in use, the next one that comes free is kept for the peer, which asks again.
   */
  private lendLast(flow: Flow, nowMs: number): number {
    const lastAtMs = this.lastPartAtMs.get(flow) ?? -Infinity;
    if (nowMs - lastAtMs < LAST_PART_INTERVAL_MS) {
      return 0;
    }
    flow.holdings.takeBack(RESERVED);
    if (flow.holdings.computeHeld(nowMs).running > flow.running) {
      this.lastPartAtMs.set(flow, nowMs);
      return 1;
    }
    flow.holdings.lendAmount(RESERVED, { running: 1, perSecond: 0 }, nowMs + RESERVE_MS);
    return 0;
  }
}
