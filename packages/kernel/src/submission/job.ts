import type { CallerName } from '../ids/caller-name';
import type { JobId } from '../ids/job-id';
import type { KindName } from '../ids/kind-name';
import type { JobResult } from '../outcome/job-result';
import type { Task } from './task';

/** An accepted job. The dispatch kernel is its only writer. */
export interface Job {
  readonly id: JobId;
  readonly caller: CallerName;
  readonly kind: KindName;
  readonly bodyHash: string;
  /** Whether this is a single request that may run again after an unknown outcome. */
  readonly idempotent: boolean;
  readonly acceptedAtMs: number;
  readonly deadlineAtMs: number;
  /** Emptied when the job ends, so that kept answers do not hold the payloads in memory. */
  tasks: readonly Task[];
  /** Indices of waiting tasks expected to be short; the last entry is the next task to start. */
  readonly waitingShortIndices: number[];
  /** Indices of waiting tasks expected to be long; the last entry is the next task to start. */
  readonly waitingLongIndices: number[];
  answeredCount: number;
  /**
   * Number of tasks that had started or may have started when the job ended; undefined before that.
   */
  startedCountAtEnd: number | undefined;
  /** Sum of the estimated run times of the waiting tasks, in milliseconds. */
  waitingWorkMs: number;
  /** Position in its flow's queue; lower values are served first. */
  orderKey: number;
  result: JobResult | undefined;
}
