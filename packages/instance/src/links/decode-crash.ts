import type { CrashRecord } from '@guavaspindle/kernel/engine/crash-record';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { TaskCrash } from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';

/** Decodes a crash of a server under a task. */
export function decodeCrash(crash: TaskCrash): CrashRecord {
  const { task, server, serverStartedAtMs, isConfirmed, isUnseen } = crash;
  return {
    task: task as TaskId,
    serverId: server as ServerId,
    serverStartedAtMs,
    isConfirmed,
    isUnseen,
  };
}
