import type { ServerId } from '../ids/server-id';
import type { TaskId } from '../ids/task-id';
import type { PlaceOffer } from './place-offer';

/** The inputs of a decision to wait for a better place. */
export interface DeclinedStart extends PlaceOffer {
  readonly task: TaskId;
  /** The server on which the task could have started. */
  readonly declinedServer: ServerId;
  /** The server for which the task waits. */
  readonly server: ServerId;
  readonly untilMs: number;
}
