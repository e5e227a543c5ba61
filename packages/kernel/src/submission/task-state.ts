import type { AttemptId } from '../ids/attempt-id';
import type { ServerId } from '../ids/server-id';

/**
 * The state of a task. A task returns from `started` to `waiting` only on proof that it did not
 * run.
 */
export type TaskState =
  | { readonly type: 'waiting' }
  | { readonly type: 'started'; readonly attempt: AttemptId; readonly server: ServerId }
  | { readonly type: 'answered'; readonly answerJson: string }
  | { readonly type: 'failed' }
  | { readonly type: 'unknown' };
