import type { JobId } from '../ids/job-id';

/**
 * An event of the time line, without its stamp. `detail` holds only numbers, booleans and names.
 */
export interface EventBody {
  readonly type: EventType;
  readonly jobId?: JobId;
  readonly detail: Readonly<Record<string, string | number | boolean>>;
}

/** Names of the recorded events. */
type EventType =
  | 'submission-received'
  | 'submission-relayed'
  | 'submission-accepted'
  | 'submission-refused'
  | 'key-claimed'
  | 'task-started'
  | 'task-not-run'
  | 'task-answered'
  | 'task-failed'
  | 'task-unknown'
  | 'job-ended'
  | 'job-cancelled'
  | 'server-ejected'
  | 'server-leaving'
  | 'limit-borrowed'
  | 'table-adopted'
  | 'member-joined'
  | 'member-left'
  | 'store-lost'
  | 'store-reached'
  | 'drain-started';
