import type { OrderAnswer } from '@guavaspindle/platform-adapter/servers/order-answer';
import type { ServerAnswer } from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';

/** Decodes the answer to a start or a stop that a carrier has passed on. */
export function decodeOrderAnswer({ answer }: ServerAnswer): OrderAnswer {
  switch (answer.case) {
    case 'accepted':
      return { kind: 'accepted', clockMs: answer.value.clockMs };
    case 'refused':
      return {
        kind: 'refused',
        reason: answer.value.reason,
        isUnhealthy: answer.value.isUnhealthy,
      };
    case 'fenced':
      return { kind: 'fenced' };
    case 'otherLife':
      return { kind: 'other-life' };
    case 'notSent':
      return { kind: 'not-sent', reason: answer.value.reason };
    case 'unanswered':
      return { kind: 'no-answer', reason: answer.value.reason };
    case 'lists':
    case undefined:
      return { kind: 'no-answer', reason: 'the carrier’s answer is none to an order' };
    default:
      return answer satisfies never;
  }
}
