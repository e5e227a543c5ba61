import type { Job } from '../submission/job';
import type { Flow } from './flow';
import type { RunClass } from './run-class';

/** Decides which flow is served next and which of its jobs goes first. */
export interface QueuePolicy {
  /** Whether tasks expected to be long are bounded to a part of the slots. */
  readonly separatesLongTasks: boolean;
  /** Computes a job's position within its flow when it is accepted; lower goes first. */
  computeOrderKey(job: Job): number;
  /** Chooses among flows that can start a task of an allowed class now. */
  chooseFlow(flows: readonly Flow[], allowed: readonly RunClass[]): Flow;
  /** Charges a flow for a start that is expected to hold a slot this long. */
  chargeStart(flow: Flow, estimateMs: number): void;
  /** Corrects the charge once the true run time is known. */
  correctCharge(flow: Flow, estimateMs: number, ranMs: number): void;
  /** Notes that a flow has work again after it had none. */
  activateFlow(flow: Flow): void;
}
