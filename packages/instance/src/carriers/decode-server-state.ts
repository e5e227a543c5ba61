import type { RunEnd } from '@guavaspindle/kernel/engine/run-end';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { ServerState } from '@guavaspindle/platform-adapter/servers/server-state';
import type { ServerAnswer } from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';

/** Decodes the answer to a renewal that a carrier has passed on. */
export function decodeServerState({ answer }: ServerAnswer): ServerState {
  switch (answer.case) {
    case 'lists': {
      const { clockMs, bornMs, running, ended } = answer.value;
      return {
        kind: 'state',
        clockMs,
        bornMs,
        running: running.map(({ task, run, percent }) => ({ task: task as TaskId, run, percent })),
        ended: ended.map(({ sequence, task, run, how }) => ({
          sequence,
          task: task as TaskId,
          run,
          how: how as RunEnd,
        })),
      };
    }
    case 'fenced':
      return { kind: 'fenced' };
    case 'otherLife':
      return { kind: 'other-life' };
    case 'unanswered':
      return { kind: 'no-answer', reason: answer.value.reason, isRefused: answer.value.isRefused };
    case 'notSent':
      return { kind: 'no-answer', reason: answer.value.reason, isRefused: true };
    case 'accepted':
    case 'refused':
    case undefined:
      return {
        kind: 'no-answer',
        reason: 'the carrier’s answer is none to a renewal',
        isRefused: false,
      };
    default:
      return answer satisfies never;
  }
}
