/** Builds the body of a complete job from answers that are JSON text already. */
export function buildCompletedJobBody(jobId: string, answersJson: readonly string[]): string {
  return `{"id":${JSON.stringify(jobId)},"state":"complete","answers":[${answersJson.join(',')}]}`;
}
