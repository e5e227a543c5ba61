import type { ServerId } from '../ids/server-id';
import type { TaskId } from '../ids/task-id';

/** A run of a task that was in progress when its server crashed or fell silent. */
export interface CrashRecord {
  readonly task: TaskId;
  readonly serverId: ServerId;
  /** Start of the server's life, in Unix milliseconds. Records of the same life are the same crash. */
  readonly serverStartedAtMs: number;
  /** False while the server has only fallen silent, which a network partition looks like as well. */
  readonly isConfirmed: boolean;
  /** Whether the start got no answer and no run was seen: the task may never have been on the server. */
  readonly isUnseen?: boolean;
}
