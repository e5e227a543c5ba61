import type { Job } from '../submission/job';
import type { Flow } from './flow';
import type { RunClass } from './run-class';

/** Decides which flow is served next, and the order of jobs within a flow. */
export interface QueuePolicy {
  /** Whether long tasks may occupy only a part of the slots; see `LongTaskCap`. */
  readonly separatesLongTasks: boolean;
  /** Computes the sort key of a newly accepted job within its flow; the lowest is served first. */
  computeOrderKey(job: Job): number;
  /** Chooses one of the given flows, each of which can start a task of an allowed class now. */
  chooseFlow(flows: readonly Flow[], allowed: readonly RunClass[]): Flow;
  /** Charges a flow for a start with the given estimated run time. */
  chargeStart(flow: Flow, estimateMs: number): void;
  /** Corrects the charge of a start when its actual run time is known. */
  correctCharge(flow: Flow, estimateMs: number, ranMs: number): void;
  /** Handles the arrival of a job in a flow in which no task was waiting. */
  activateFlow(flow: Flow): void;
}
