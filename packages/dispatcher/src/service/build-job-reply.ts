import type { MessageInitShape } from '@bufbuild/protobuf';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { JobResult } from '@guavaspindle/kernel/outcome/job-result';
import type { Problem } from '@guavaspindle/kernel/outcome/problem';
import type { JobReplySchema } from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';

/** Builds the reply that carries a problem. */
function buildProblemReply(
  jobId: JobId,
  problem: Problem,
): MessageInitShape<typeof JobReplySchema> {
  const { code, detail, outcome, retryAfterMs } = problem;
  return {
    jobId,
    result: { case: 'problem', value: { code, detail, outcome, retryAfterMs: retryAfterMs ?? 0 } },
  };
}

/** Builds the reply that carries the result of a job that has ended. */
export function buildJobReply(
  jobId: JobId,
  result: JobResult,
): MessageInitShape<typeof JobReplySchema> {
  switch (result.type) {
    case 'complete':
      return {
        jobId,
        result: { case: 'complete', value: { answersJson: [...result.answersJson] } },
      };
    case 'problem':
      return buildProblemReply(jobId, result.problem);
    default:
      return result satisfies never;
  }
}
