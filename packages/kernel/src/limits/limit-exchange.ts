import type { IncarnationId } from '../ids/incarnation-id';
import type { LoanId } from '../ids/loan-id';
import type { Flow } from '../queue/flow';
import type { BorrowEffect } from './borrow-effect';
import type { LimitAmount } from './limit-amount';
import type { LoanGrant } from './loan-grant';
import type { LoanRequest } from './loan-request';
import type { ReturnLoanEffect } from './return-loan-effect';

/** How long a borrower may use a loan, counted from the moment at which it asked. */
const TERM_MS = 1_000;
/** Clocks may run apart by this part over a term. */
const CLOCK_DRIFT_PART = 0.05;
/** A borrower asks for more time when less than this is left. */
const RENEW_MS = 500;
/** Shortest time between two questions for the same flow. */
const ASK_INTERVAL_MS = 50;
/** A flow that has had nothing to do for this long gives its loans back. */
const IDLE_MS = 200;
/** Starts a second are wanted so that what waits has started within this time. */
const CATCH_UP_SECONDS = 0.5;
/** A lender keeps this multiple of the rate that it used lately. */
const RATE_HEADROOM = 1.5;
/**
 * A lender that holds several tasks' parts keeps this many: a borrower that dies or freezes holds
 * the others until the leases of its tasks have ended.
 */
const KEPT_RUNNING = 1;
/** A lender keeps this part of its rate, for the same reason. */
const KEPT_RATE_PART = 0.1;
/** A part kept free for a peer that has none is kept until the peer has had time to ask again. */
const RESERVE_MS = 4 * ASK_INTERVAL_MS;

/** Stands for the peer that will ask again for a part that is kept for it. */
const RESERVED = 'reserved' as LoanId;

/** What the exchange remembers of a flow. */
interface FlowState {
  askedAtMs: number;
  /** A question is on its way. */
  isAsking: boolean;
  /** The last time at which tasks waited or ran. */
  busyAtMs: number;
  /** The last time at which this dispatcher gave its last part to a peer that had none. */
  sharedLastAtMs: number;
}

/** Gives a part away and describes it to the borrower. */
function lendUntil(flow: Flow, id: LoanId, amount: LimitAmount, untilMs: number): LoanGrant {
  flow.holdings.lendAmount(id, amount, untilMs);
  return { id, amount, termMs: TERM_MS };
}

/** Where the exchange finds flows; `findFlow` makes one that the table allows but nobody used. */
interface FlowSource {
  readonly listFlows: () => Iterable<Flow>;
  readonly findFlow: (request: LoanRequest) => Flow | undefined;
  /** Revision of the table in force. */
  readonly readRevision: () => number;
}

/**
 * Moves parts of limits between the dispatchers of a failure domain: a dispatcher whose tasks wait
 * for a limit asks its peers in turn; one that needs less than its part lends the rest for a short
 * term.
 */
export class LimitExchange {
  private readonly states = new Map<Flow, FlowState>();

  private peers: readonly IncarnationId[] = [];

  private turn = 0;

  private lastLoan = 0;

  private effects: (BorrowEffect | ReturnLoanEffect)[] = [];

  /** Creates an exchange without peers. */
  constructor(
    private readonly self: IncarnationId,
    private readonly flows: FlowSource,
  ) {}

  /** Adopts the list of peers; loans of a lender that is gone end at once. */
  adoptPeers(peers: readonly IncarnationId[], nowMs: number): void {
    this.peers = peers;
    [...this.flows.listFlows()].forEach((flow) => {
      const loans = flow.holdings.listBorrowed(nowMs);
      if (loans.some(([, { lender }]) => !peers.includes(lender))) {
        flow.holdings.endLoans();
      }
    });
  }

  /** Returns the messages to send since the last call. */
  takeEffects(): (BorrowEffect | ReturnLoanEffect)[] {
    const taken = this.effects;
    this.effects = [];
    return taken;
  }

  /** Asks for what waiting tasks lack, and returns what is not needed. */
  advanceTime(nowMs: number): void {
    [...this.flows.listFlows()].forEach((flow) => {
      const state = this.getState(flow, nowMs);
      if (flow.waiting > 0 || flow.running > 0) {
        state.busyAtMs = nowMs;
      } else if (nowMs - state.busyAtMs >= IDLE_MS) {
        flow.holdings.endLoans();
      }
      flow.applyLimits(nowMs);
      this.returnLoans(flow, nowMs);
      this.askPeer(flow, state, nowMs);
    });
  }

  /** Answers a peer's request; undefined if nothing can be lent. */
  lendPart(request: LoanRequest, nowMs: number): LoanGrant | undefined {
    const flow = this.flows.findFlow(request);
    if (flow === undefined || request.revision !== this.flows.readRevision()) {
      return undefined;
    }
    // A task that starts at the end of the term holds the part until its lease ends.
    const untilMs = nowMs + TERM_MS * (1 + CLOCK_DRIFT_PART) + flow.maxLeaseMs;
    const renewed =
      request.renews === undefined ? undefined : flow.holdings.findLent(request.renews);
    if (request.renews !== undefined) {
      return renewed === undefined || flow.waiting > 0
        ? undefined
        : lendUntil(flow, request.renews, renewed.amount, untilMs);
    }
    const amount = this.chooseAmount(flow, request, nowMs);
    if (amount.running <= 0 && amount.perSecond <= 0) {
      return undefined;
    }
    this.lastLoan += 1;
    return lendUntil(flow, `${this.self}/${this.lastLoan}` as LoanId, amount, untilMs);
  }

  /** Takes a peer's answer to a question; an undefined grant says that it lent nothing. */
  adoptAnswer(asked: BorrowEffect, grant: LoanGrant | undefined, nowMs: number): void {
    const { lender, request, askedAtMs } = asked;
    const flow = this.flows.findFlow(request);
    if (flow === undefined) {
      return;
    }
    const state = this.states.get(flow);
    if (state !== undefined) {
      state.isAsking = false;
    }
    if (grant === undefined) {
      return;
    }
    // A loan for another table is never used, but it has to go back.
    const isCurrent = request.revision === this.flows.readRevision() && this.peers.includes(lender);
    const untilMs = isCurrent ? askedAtMs + grant.termMs : -Infinity;
    if (request.renews === undefined) {
      flow.holdings.addBorrowed(grant.id, { lender, amount: grant.amount, untilMs });
    } else {
      flow.holdings.renewBorrowed(grant.id, untilMs, nowMs);
    }
  }

  /** Takes back a part that its borrower does not use any more. */
  takeBack({ caller, kind, loan }: Pick<ReturnLoanEffect, 'caller' | 'kind' | 'loan'>): void {
    [...this.flows.listFlows()]
      .find((flow) => flow.caller === caller && flow.kind === kind)
      ?.holdings.takeBack(loan);
  }

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
   * Gives one task's part to a peer that holds none, although tasks wait here too; at most half of
   * the time, so that both go on. While all parts are in use, the next one that comes free is kept
   * for the peer, which asks again.
   */
  private lendLast(flow: Flow, nowMs: number): number {
    const state = this.getState(flow, nowMs);
    if (nowMs - state.sharedLastAtMs < 2 * TERM_MS) {
      return 0;
    }
    flow.holdings.takeBack(RESERVED);
    if (flow.holdings.computeHeld(nowMs).running > flow.running) {
      state.sharedLastAtMs = nowMs;
      return 1;
    }
    flow.holdings.lendAmount(RESERVED, { running: 1, perSecond: 0 }, nowMs + RESERVE_MS);
    return 0;
  }

  private returnLoans(flow: Flow, nowMs: number): void {
    flow.holdings.takeReturnable(flow.running, nowMs).forEach(({ id, lender }) => {
      const { caller, kind } = flow;
      this.effects.push({ type: 'return-loan', lender, loan: id, caller, kind });
    });
  }

  private askPeer(flow: Flow, state: FlowState, nowMs: number): void {
    if (state.isAsking || nowMs - state.askedAtMs < ASK_INTERVAL_MS || this.peers.length === 0) {
      return;
    }
    const ending = flow.holdings
      .listBorrowed(nowMs)
      .find(([, { untilMs }]) => untilMs - nowMs < RENEW_MS);
    const question =
      ending === undefined
        ? this.buildNewQuestion(flow, nowMs)
        : { lender: ending[1].lender, wanted: ending[1].amount, renews: ending[0] };
    if (question === undefined) {
      return;
    }
    state.isAsking = true;
    state.askedAtMs = nowMs;
    const { caller, kind } = flow;
    const { lender, wanted, renews } = question;
    const held = flow.holdings.computeHeld(nowMs);
    const holdsNone = held.running < 1 || held.perSecond <= 0;
    const revision = this.flows.readRevision();
    const request = { caller, kind, revision, wanted, holdsNone, renews };
    this.effects.push({ type: 'borrow', lender, request, askedAtMs: nowMs });
  }

  private buildNewQuestion(flow: Flow, nowMs: number) {
    const held = flow.holdings.computeHeld(nowMs);
    const lacksRunning = flow.waiting > 0 && flow.running >= held.running;
    const lacksRate = flow.waiting > 0 && !flow.bucket.hasToken(nowMs);
    if (!lacksRunning && !lacksRate) {
      return undefined;
    }
    const wanted = {
      running: lacksRunning ? flow.waiting : 0,
      perSecond: lacksRate ? flow.waiting / CATCH_UP_SECONDS : 0,
    };
    this.turn += 1;
    return { lender: this.peers[this.turn % this.peers.length]!, wanted, renews: undefined };
  }

  private getState(flow: Flow, nowMs: number): FlowState {
    let state = this.states.get(flow);
    if (state === undefined) {
      state = {
        askedAtMs: -Infinity,
        isAsking: false,
        busyAtMs: nowMs,
        sharedLastAtMs: -Infinity,
      };
      this.states.set(flow, state);
    }
    return state;
  }
}
