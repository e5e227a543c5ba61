import { buildProblem } from '@guavaspindle/kernel/dispatch/build-problem';
import type { JobReply } from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import { buildProblemResponse } from '@guavaspindle/runtime/http/build-problem-response';
import { buildCompletedJobBody } from './build-completed-job-body';
import { decodeProblem } from './decode-problem';

const JSON_HEADERS = { 'content-type': 'application/json' };

/** Builds the HTTP response from the reply of a submission's owner. */
export function buildSubmitResponse(reply: JobReply): Response {
  const { jobId, result } = reply;
  switch (result.case) {
    case 'complete':
      return new Response(buildCompletedJobBody(jobId, result.value.answersJson), {
        headers: JSON_HEADERS,
      });
    case 'problem':
      return buildProblemResponse(decodeProblem(result.value));
    case 'pending':
      return new Response(
        JSON.stringify({ id: jobId, state: result.value.running ? 'running' : 'queued' }),
        { status: 202, headers: { ...JSON_HEADERS, location: `/v1/jobs/${jobId}` } },
      );
    case 'ownedByJobId':
    case undefined:
      return buildProblemResponse(
        buildProblem('internal', 'unknown', 'The owner of the submission gave no answer.'),
      );
    default:
      return result satisfies never;
  }
}
