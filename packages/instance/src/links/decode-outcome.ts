import type { JobOutcome } from '@guavaspindle/kernel/engine/job-outcome';
import type { EndedJob } from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';

/** Decodes the outcome of a job. An outcome that this version does not know becomes `unknown`. */
export function decodeOutcome({ outcome }: EndedJob): JobOutcome {
  switch (outcome.case) {
    case 'completed':
      return { kind: 'completed' };
    case 'failed':
      return { kind: 'failed', reason: outcome.value.reason };
    case 'cancelled':
      return { kind: 'cancelled' };
    case 'notRun':
      return {
        kind: 'not-run',
        reason: outcome.value.reason,
        retryAfterMs: outcome.value.retryAfterMs,
        isUnservable: outcome.value.isUnservable,
      };
    case 'unknown':
      return { kind: 'unknown', reason: outcome.value.reason };
    case undefined:
      return { kind: 'unknown', reason: 'the leader named no outcome' };
    default:
      return outcome satisfies never;
  }
}
