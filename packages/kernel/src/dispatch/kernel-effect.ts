import type { AttemptId } from '../ids/attempt-id';
import type { EventBody } from '../events/event-body';
import type { BorrowEffect } from '../limits/borrow-effect';
import type { ReturnLoanEffect } from '../limits/return-loan-effect';
import type { ServerInfo } from '../placement/server-info';
import type { Job } from '../submission/job';
import type { Task } from '../submission/task';

/** An action that the kernel requests from its caller. Effects must be carried out in order. */
export type KernelEffect =
  | {
      readonly type: 'start';
      readonly attempt: AttemptId;
      readonly job: Job;
      readonly task: Task;
      readonly server: ServerInfo;
      /** How long the server may hold the task; afterwards its outcome counts as unknown. */
      readonly leaseMs: number;
    }
  | { readonly type: 'stop'; readonly attempt: AttemptId; readonly server: ServerInfo }
  | { readonly type: 'job-ended'; readonly job: Job }
  | { readonly type: 'record'; readonly event: EventBody }
  | BorrowEffect
  | ReturnLoanEffect;
