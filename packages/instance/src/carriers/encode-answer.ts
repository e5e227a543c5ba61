import type { MessageInitShape } from '@bufbuild/protobuf';
import type { OrderAnswer } from '@guavaspindle/platform-adapter/servers/order-answer';
import type { ServerState } from '@guavaspindle/platform-adapter/servers/server-state';
import type { ServerAnswerSchema } from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';

type EncodedAnswer = NonNullable<MessageInitShape<typeof ServerAnswerSchema>['answer']>;

/** Encodes a server's answer for the leader. */
export function encodeAnswer(answer: OrderAnswer | ServerState): EncodedAnswer {
  switch (answer.kind) {
    case 'accepted':
      return { case: 'accepted', value: { clockMs: answer.clockMs } };
    case 'refused':
      return {
        case: 'refused',
        value: { reason: answer.reason, isUnhealthy: answer.isUnhealthy },
      };
    case 'state':
      return {
        case: 'lists',
        value: {
          clockMs: answer.clockMs,
          bornMs: answer.bornMs,
          running: [...answer.running],
          ended: [...answer.ended],
        },
      };
    case 'fenced':
      return { case: 'fenced', value: {} };
    case 'other-life':
      return { case: 'otherLife', value: {} };
    case 'not-sent':
      return { case: 'notSent', value: { reason: answer.reason } };
    case 'no-answer':
      return {
        case: 'unanswered',
        value: {
          reason: answer.reason,
          isRefused: 'isRefused' in answer && answer.isRefused,
        },
      };
    default:
      return answer satisfies never;
  }
}
