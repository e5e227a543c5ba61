import type { InstanceName } from '../ids/instance-name';
import type { JobId } from '../ids/job-id';
import type { PartId } from '../ids/part-id';
import type { ServerId } from '../ids/server-id';
import type { TaskId } from '../ids/task-id';
import type { CrashRecord } from './crash-record';
import type { JobOutcome } from './job-outcome';
import type { StopReason } from './stop-reason';

/** An action that the engine asks its caller to perform. */
export type EngineEffect =
  | {
      readonly kind: 'start-run';
      readonly serverId: ServerId;
      readonly task: TaskId;
      readonly run: number;
      readonly jobId: JobId;
      readonly specification: string;
    }
  | {
      readonly kind: 'stop-run';
      readonly serverId: ServerId;
      readonly task: TaskId;
      readonly run: number;
      readonly reason: StopReason;
    }
  /** Tells the instance that owns the job that a task is done. */
  | {
      readonly kind: 'report-done';
      readonly owner: InstanceName;
      readonly jobId: JobId;
      readonly task: TaskId;
      readonly run: number;
    }
  /** Tells the instance that owns the job to submit it to the leader of another part. */
  | {
      readonly kind: 'move-job';
      readonly owner: InstanceName;
      readonly jobId: JobId;
      readonly part: PartId;
      /** True if an earlier submission of the job was moved there, so that it may have run. */
      readonly wasMovedBefore: boolean;
    }
  /** Tells instances that a server crashed or fell silent while it ran a task. */
  | {
      readonly kind: 'report-crash';
      readonly record: CrashRecord;
      /** The only instance to tell; all if undefined. */
      readonly owner: InstanceName | undefined;
    }
  /** Tells all instances which life of a server has answered, which decides whether it had crashed. */
  | {
      readonly kind: 'report-life';
      readonly serverId: ServerId;
      /** Undefined if the earlier life is taken to have ended. */
      readonly startedAtMs: number | undefined;
      /** Tasks whose runs that life has accepted, so that no earlier one has crashed under these. */
      readonly clearedTasks: readonly TaskId[];
    }
  | {
      readonly kind: 'end-job';
      readonly owner: InstanceName | undefined;
      readonly jobId: JobId;
      readonly outcome: JobOutcome;
    };
