import type { IncarnationId } from '../ids/incarnation-id';
import type { Flow } from '../queue/flow';
import type { BorrowEffect } from './borrow-effect';
import type { FlowSource } from './flow-source';
import type { LoanGrant } from './loan-grant';
import type { ReturnLoanEffect } from './return-loan-effect';

/** A loan is renewed when less than this is left of its term. */
const RENEW_BEFORE_EXPIRY_MS = 500;
/** Minimum time between two loan requests for the same flow. */
const MIN_REQUEST_INTERVAL_MS = 50;
/** A flow in which no task has waited or run for this long returns its loans. */
const IDLE_TIMEOUT_MS = 200;
/** The requested rate would start all waiting tasks within this time. */
const CATCH_UP_SECONDS = 0.5;

/** The state of borrowing for one flow. */
interface BorrowingState {
  /** When the last request was sent. */
  requestedAtMs: number;
  /** Whether a request has been sent and not answered. */
  isRequestPending: boolean;
  /** Last time at which a task of the flow waited or ran. */
  lastBusyAtMs: number;
}

/**
 * Borrows parts of limits from peers when waiting tasks need more than this dispatcher's allocation,
 * and returns the loans that are no longer used. Peers are asked in rotation.
 */
export class LimitBorrower {
  private readonly states = new Map<Flow, BorrowingState>();

  private peers: readonly IncarnationId[] = [];

  private peerTurn = 0;

  private effects: (BorrowEffect | ReturnLoanEffect)[] = [];

  /** Creates a borrower without peers. */
  constructor(private readonly flows: FlowSource) {}

  /**
   * Adopts the list of peers. If a lender of a flow is no longer listed, all loans of that flow
   * expire immediately.
   */
  adoptPeers(peers: readonly IncarnationId[], nowMs: number): void {
    this.peers = peers;
    [...this.flows.listFlows()].forEach((flow) => {
      const loans = flow.allocation.listActiveBorrowedLoans(nowMs);
      if (loans.some(([, { lender }]) => !peers.includes(lender))) {
        flow.allocation.expireBorrowedLoans();
      }
    });
  }

  /** Returns the effects queued since the last call. */
  takeEffects(): (BorrowEffect | ReturnLoanEffect)[] {
    const taken = this.effects;
    this.effects = [];
    return taken;
  }

  /** Requests, renews and returns loans as each flow needs. */
  advanceTime(nowMs: number): void {
    [...this.flows.listFlows()].forEach((flow) => {
      const state = this.getState(flow, nowMs);
      if (flow.waiting > 0 || flow.running > 0) {
        state.lastBusyAtMs = nowMs;
      } else if (nowMs - state.lastBusyAtMs >= IDLE_TIMEOUT_MS) {
        flow.allocation.expireBorrowedLoans();
      }
      flow.applyLimits(nowMs);
      this.returnLoans(flow, nowMs);
      this.requestLoan(flow, state, nowMs);
    });
  }

  /**
   * Handles the response to a loan request.
   *
   * @param sent - the effect that carried the request
   * @param grant - the loan; undefined if the peer lent nothing or did not answer
   */
  applyResponse(sent: BorrowEffect, grant: LoanGrant | undefined, nowMs: number): void {
    const { lender, request, requestedAtMs } = sent;
    const flow = this.flows.findFlow(request);
    if (flow === undefined) {
      return;
    }
    const state = this.states.get(flow);
    if (state !== undefined) {
      state.isRequestPending = false;
    }
    if (grant === undefined) {
      return;
    }
    // A loan under another table revision or from an unlisted peer must not be used. It is added as
    // expired, so that it is returned.
    const isCurrent = request.revision === this.flows.readRevision() && this.peers.includes(lender);
    const untilMs = isCurrent ? requestedAtMs + grant.termMs : -Infinity;
    if (request.renews === undefined) {
      flow.allocation.addBorrowedLoan(grant.id, { lender, amount: grant.amount, untilMs });
    } else {
      flow.allocation.renewBorrowedLoan(grant.id, untilMs, nowMs);
    }
  }

  private returnLoans(flow: Flow, nowMs: number): void {
    flow.allocation.takeReturnableLoans(flow.running, nowMs).forEach(({ id, lender }) => {
      const { caller, kind } = flow;
      this.effects.push({ type: 'return-loan', lender, loan: id, caller, kind });
    });
  }

  private requestLoan(flow: Flow, state: BorrowingState, nowMs: number): void {
    if (
      state.isRequestPending ||
      nowMs - state.requestedAtMs < MIN_REQUEST_INTERVAL_MS ||
      this.peers.length === 0
    ) {
      return;
    }
    const expiring = flow.allocation
      .listActiveBorrowedLoans(nowMs)
      .find(([, { untilMs }]) => untilMs - nowMs < RENEW_BEFORE_EXPIRY_MS);
    const draft =
      expiring === undefined
        ? this.buildRequestDraft(flow, nowMs)
        : { lender: expiring[1].lender, wanted: expiring[1].amount, renews: expiring[0] };
    if (draft === undefined) {
      return;
    }
    state.isRequestPending = true;
    state.requestedAtMs = nowMs;
    const { caller, kind } = flow;
    const { lender, wanted, renews } = draft;
    const usable = flow.allocation.computeUsable(nowMs);
    const holdsNone = usable.running < 1 || usable.perSecond <= 0;
    const revision = this.flows.readRevision();
    const request = { caller, kind, revision, wanted, holdsNone, renews };
    this.effects.push({ type: 'borrow', lender, request, requestedAtMs: nowMs });
  }

  private buildRequestDraft(flow: Flow, nowMs: number) {
    const usable = flow.allocation.computeUsable(nowMs);
    const lacksRunning = flow.waiting > 0 && flow.running >= usable.running;
    const lacksRate = flow.waiting > 0 && !flow.bucket.hasToken(nowMs);
    if (!lacksRunning && !lacksRate) {
      return undefined;
    }
    const wanted = {
      running: lacksRunning ? flow.waiting : 0,
      perSecond: lacksRate ? flow.waiting / CATCH_UP_SECONDS : 0,
    };
    this.peerTurn += 1;
    return { lender: this.peers[this.peerTurn % this.peers.length]!, wanted, renews: undefined };
  }

  private getState(flow: Flow, nowMs: number): BorrowingState {
    let state = this.states.get(flow);
    if (state === undefined) {
      state = {
        requestedAtMs: -Infinity,
        isRequestPending: false,
        lastBusyAtMs: nowMs,
      };
      this.states.set(flow, state);
    }
    return state;
  }
}
