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
  /** A single request that may run again after an unknown outcome. */
  readonly idempotent: boolean;
  readonly acceptedAtMs: number;
  readonly deadlineAtMs: number;
  /** Emptied when the job ends, so that kept answers do not hold the payloads in memory. */
  tasks: readonly Task[];
  /** Indices of waiting tasks that are expected to be short, next one last. */
  readonly waitingShortIndices: number[];
  /** Indices of waiting tasks that are expected to be long, next one last. */
  readonly waitingLongIndices: number[];
  answeredCount: number;
  /** Tasks that had started when the job ended; undefined while it has not. */
  startedCountAtEnd: number | undefined;
  /** Sum of the estimates of waiting tasks, in milliseconds. */
  waitingWorkMs: number;
  /** Position in its flow's queue; lower goes first. */
  orderKey: number;
  result: JobResult | undefined;
}
