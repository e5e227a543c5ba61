import type { CallerName } from '@guavaspindle/kernel/ids/caller-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { KindName } from '@guavaspindle/kernel/ids/kind-name';
import type { JobSubmission } from '@guavaspindle/kernel/submission/job-submission';
import type { TaskInput } from '@guavaspindle/kernel/submission/task-input';
import type {
  SubmitJobRequest,
  TaskInput as TaskMessage,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';

/** Converts one task of the message. Zero for `expectedMs` means that none was declared. */
function readTask({ payloadJson, expectedMs, demand }: TaskMessage): TaskInput {
  return {
    payloadJson,
    ...(expectedMs > 0 ? { expectedMs } : {}),
    ...(demand === undefined ? {} : { demand }),
  };
}

/**
 * Converts a message to a submission. Zero for `deadlineMs` means that none was declared.
 *
 * @param jobId - the id under which the job is submitted
 */
export function readSubmission(request: SubmitJobRequest, jobId: JobId): JobSubmission {
  return {
    jobId,
    caller: request.caller as CallerName,
    kind: request.kind as KindName,
    bodyHash: request.bodyHash,
    idempotent: request.idempotent,
    deadlineMs: request.deadlineMs > 0 ? request.deadlineMs : undefined,
    tasks: request.tasks.map(readTask),
  };
}
