import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { EntryPort } from '../links/entry-port';

/** The report of a done run, until an instance that can tell a later leader has received it. */
export interface EndDelivery {
  readonly task: TaskId;
  /** The instance that owned the task's job when the end was read; undefined if the job was not open. */
  readonly owner: InstanceName | undefined;
  readonly readAtMs: number;
  /** How long the end has been held back while this process ran, in milliseconds. */
  heldMs: number;
  /** The instances that have been told, by their links. */
  readonly toldPorts: Set<EntryPort>;
  /** Whether the end may be acknowledged. */
  isSettled: boolean;
  /** Resolves once the end may be acknowledged. */
  readonly settled: Promise<void>;
  settle(): void;
}
