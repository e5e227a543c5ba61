import { create } from '@bufbuild/protobuf';
import type { CrashRecord } from '@guavaspindle/kernel/engine/crash-record';
import {
  TaskCrashSchema,
  type TaskCrash,
} from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';

/** Encodes a crash of a server under a task. */
export function encodeCrash(record: CrashRecord): TaskCrash {
  const { task, serverId, serverStartedAtMs, isConfirmed, isUnseen } = record;
  return create(TaskCrashSchema, {
    task,
    server: serverId,
    serverStartedAtMs,
    isConfirmed,
    isUnseen,
  });
}
