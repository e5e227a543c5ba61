import type { AttemptId } from '../ids/attempt-id';
import type { ServerId } from '../ids/server-id';

/** Where a task stands. Only a proof of `not-run` leads from `started` back to `waiting`. */
export type TaskState =
  | { readonly type: 'waiting' }
  | { readonly type: 'started'; readonly attempt: AttemptId; readonly server: ServerId }
  | { readonly type: 'answered'; readonly answerJson: string }
  | { readonly type: 'failed' }
  | { readonly type: 'unknown' };
