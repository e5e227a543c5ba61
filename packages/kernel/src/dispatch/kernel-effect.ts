import type { AttemptId } from '../ids/attempt-id';
import type { EventBody } from '../events/event-body';
import type { BorrowEffect } from '../limits/borrow-effect';
import type { ReturnLoanEffect } from '../limits/return-loan-effect';
import type { ServerInfo } from '../placement/server-info';
import type { Job } from '../submission/job';
import type { Task } from '../submission/task';

/** What the kernel asks its surroundings to do. Effects are carried out in order. */
export type KernelEffect =
  | {
      readonly type: 'start';
      readonly attempt: AttemptId;
      readonly job: Job;
      readonly task: Task;
      readonly server: ServerInfo;
      /** The server may hold the task this long; afterwards the outcome counts as unknown. */
      readonly leaseMs: number;
    }
  | { readonly type: 'stop'; readonly attempt: AttemptId; readonly server: ServerInfo }
  | { readonly type: 'job-ended'; readonly job: Job }
  | { readonly type: 'record'; readonly event: EventBody }
  | BorrowEffect
  | ReturnLoanEffect;
