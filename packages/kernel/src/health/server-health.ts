import type { HealthState } from './health-state';

/** Number of recent outcomes kept for each server. */
const WINDOW_SIZE = 8;
/** A server is ejected only if its window holds at least this many failures. */
const MIN_FAILURES_TO_EJECT = 3;
/** A server is ejected only if failures are at least this fraction of its window. */
const MIN_FAILURE_RATE = 0.5;
/** A server is ejected only if its failure rate is at least this multiple of the others' rate. */
const OUTLIER_FACTOR = 2;
const FIRST_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 60_000;
const PROBATION_SUCCESSES = 3;

/**
 * Tracks the failures of one backend server. A server that fails too often is ejected for a time;
 * after that it is on probation and gets one trial start at a time.
 */
export class ServerHealth {
  private state: HealthState = { type: 'healthy' };

  private recentOutcomes: boolean[] = [];

  /** Computes the fraction of failures among the recent outcomes, 0 to 1. */
  computeFailureRate(): number {
    if (this.recentOutcomes.length === 0) {
      return 0;
    }
    return this.recentOutcomes.filter((failed) => failed).length / this.recentOutcomes.length;
  }

  /**
   * Returns whether the server may get a start now. Begins probation once an ejection has expired.
   */
  canStart(nowMs: number): boolean {
    const { state } = this;
    switch (state.type) {
      case 'healthy':
        return true;
      case 'ejected':
        if (nowMs < state.untilMs) {
          return false;
        }
        this.beginProbation(state.ejections);
        return true;
      case 'probation':
        return !state.trialRunning;
      default:
        return state satisfies never;
    }
  }

  /** Returns whether the server is ejected or on probation. */
  isSuspect(): boolean {
    return this.state.type !== 'healthy';
  }

  /** Records that a start was sent. */
  recordStart(): void {
    if (this.state.type === 'probation') {
      this.state = { ...this.state, trialRunning: true };
    }
  }

  /** Records that a start is known not to have run, which says nothing about the health. */
  recordNotRun(): void {
    if (this.state.type === 'probation') {
      this.state = { ...this.state, trialRunning: false };
    }
  }

  /** Records a successful attempt. */
  recordSuccess(): void {
    this.recordOutcome(false);
    const { state } = this;
    if (state.type !== 'probation') {
      return;
    }
    const successesLeft = state.successesLeft - 1;
    this.state =
      successesLeft > 0 ? { ...state, successesLeft, trialRunning: false } : { type: 'healthy' };
  }

  /**
   * Records a failure or an unknown outcome, and ejects the server if it is an outlier or on
   * probation.
   *
   * @param othersFailureRate - mean failure rate of the other servers, 0 to 1
   * @param canEject - false when too many servers are already ejected
   * @returns true if this failure ejected the server
   */
  recordFailure(nowMs: number, othersFailureRate: number, canEject: boolean): boolean {
    this.recordOutcome(true);
    const { state } = this;
    switch (state.type) {
      case 'ejected':
        return false;
      case 'probation':
        this.ejectServer(nowMs, state.ejections + 1);
        return true;
      case 'healthy':
        if (!canEject || !this.isOutlier(othersFailureRate)) {
          return false;
        }
        this.ejectServer(nowMs, 1);
        return true;
      default:
        return state satisfies never;
    }
  }

  private isOutlier(othersFailureRate: number): boolean {
    const failures = this.recentOutcomes.filter((failed) => failed).length;
    const rate = this.computeFailureRate();
    return (
      failures >= MIN_FAILURES_TO_EJECT &&
      rate >= MIN_FAILURE_RATE &&
      rate >= othersFailureRate * OUTLIER_FACTOR
    );
  }

  private ejectServer(nowMs: number, ejections: number): void {
    const durationMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** (ejections - 1));
    this.state = { type: 'ejected', untilMs: nowMs + durationMs, ejections };
  }

  private beginProbation(ejections: number): void {
    this.recentOutcomes = [];
    this.state = {
      type: 'probation',
      successesLeft: PROBATION_SUCCESSES,
      trialRunning: false,
      ejections,
    };
  }

  private recordOutcome(failed: boolean): void {
    this.recentOutcomes.push(failed);
    if (this.recentOutcomes.length > WINDOW_SIZE) {
      this.recentOutcomes.shift();
    }
  }
}
