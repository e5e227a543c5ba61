import type { JobReply } from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import { buildProblemDocument } from '@guavaspindle/runtime/http/build-problem-document';
import { buildProblemResponse } from '@guavaspindle/runtime/http/build-problem-response';
import { buildSubmitResponse } from './build-submit-response';
import { decodeProblem } from './decode-problem';

/** Builds the response to `GET /v1/jobs/:id`. */
export function buildJobStateResponse(reply: JobReply): Response {
  const { jobId, result } = reply;
  if (result.case === 'pending') {
    return Response.json({ id: jobId, state: result.value.running ? 'running' : 'queued' });
  }
  if (result.case !== 'problem') {
    return buildSubmitResponse(reply);
  }
  const problem = decodeProblem(result.value);
  if (problem.code === 'unknown-job' || problem.code === 'answer-forgotten') {
    return buildProblemResponse(problem);
  }
  return Response.json({ id: jobId, state: 'failed', problem: buildProblemDocument(problem) });
}
