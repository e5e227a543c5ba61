/** Builds the response body of a completed job. The answers are already serialized as JSON. */
export function buildCompletedJobBody(jobId: string, answersJson: readonly string[]): string {
  return `{"id":${JSON.stringify(jobId)},"state":"complete","answers":[${answersJson.join(',')}]}`;
}
