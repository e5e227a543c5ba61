import type { MessageInitShape } from '@bufbuild/protobuf';
import type { JobOutcome } from '@guavaspindle/kernel/engine/job-outcome';
import type { EndedJobSchema } from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';

type EncodedOutcome = NonNullable<MessageInitShape<typeof EndedJobSchema>['outcome']>;

/** Encodes the outcome of a job. The protocol has no `abandoned`; it is sent as `unknown`. */
export function encodeOutcome(outcome: JobOutcome): EncodedOutcome {
  switch (outcome.kind) {
    case 'completed':
      return { case: 'completed', value: {} };
    case 'failed':
      return { case: 'failed', value: { reason: outcome.reason } };
    case 'cancelled':
      return { case: 'cancelled', value: {} };
    case 'not-run':
      return {
        case: 'notRun',
        value: {
          reason: outcome.reason,
          retryAfterMs: Math.round(outcome.retryAfterMs),
          isUnservable: outcome.isUnservable ?? false,
        },
      };
    case 'abandoned':
    case 'unknown':
      return { case: 'unknown', value: { reason: outcome.reason } };
    default:
      return outcome satisfies never;
  }
}
