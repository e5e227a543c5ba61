import type { IncarnationId } from '../ids/incarnation-id';
import type { Flow } from '../queue/flow';
import type { BorrowEffect } from './borrow-effect';
import type { FlowSource } from './flow-source';
import type { LoanGrant } from './loan-grant';
import type { ReturnLoanEffect } from './return-loan-effect';

/** A borrower asks for more time when less than this is left. */
const RENEW_MS = 500;
/** Shortest time between two questions for the same flow. */
const ASK_INTERVAL_MS = 50;
/** A flow that has had nothing to do for this long gives its loans back. */
const IDLE_MS = 200;
/** Starts a second are wanted so that what waits has started within this time. */
const CATCH_UP_SECONDS = 0.5;

/** What the borrower remembers of a flow. */
interface FlowState {
  askedAtMs: number;
  /** A question is on its way. */
  isAsking: boolean;
  /** The last time at which tasks waited or ran. */
  busyAtMs: number;
}

/**
 * Asks the peers in turn for parts of the limits that waiting tasks lack, and returns the parts
 * that are no longer used.
 */
export class LimitBorrower {
  private readonly states = new Map<Flow, FlowState>();

  private peers: readonly IncarnationId[] = [];

  private turn = 0;

  private effects: (BorrowEffect | ReturnLoanEffect)[] = [];

  /** Creates a borrower without peers. */
  constructor(private readonly flows: FlowSource) {}

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
      };
      this.states.set(flow, state);
    }
    return state;
  }
}
