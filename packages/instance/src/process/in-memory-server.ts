import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { OrderResult } from '@guavaspindle/platform-adapter/servers/order-result';
import type { LeaseRenewal } from '@guavaspindle/platform-adapter/servers/lease-renewal';
import type { ReportedEnd } from '@guavaspindle/platform-adapter/servers/reported-end';
import type { ServerApi } from '@guavaspindle/platform-adapter/servers/server-api';
import type { LeaseRenewalResult } from '@guavaspindle/platform-adapter/servers/lease-renewal-result';
import type { StartOrder } from '@guavaspindle/platform-adapter/servers/start-order';

/** An in-memory backend server whose runs end at once. */
export class InMemoryServer implements ServerApi {
  private ended: ReportedEnd[] = [];

  private sequence = 0;

  async startRun({ task, run }: StartOrder): Promise<OrderResult> {
    this.sequence += 1;
    this.ended.push({ sequence: this.sequence, task, run, outcome: 'done' });
    return { kind: 'accepted', clockMs: 0 };
  }

  async stopRun(_task: TaskId, _run: number): Promise<OrderResult> {
    return { kind: 'accepted', clockMs: this.sequence };
  }

  async renewLeases({ terms }: LeaseRenewal): Promise<LeaseRenewalResult> {
    const acknowledgedSequence = terms?.acknowledgedSequence ?? 0;
    this.ended = this.ended.filter(({ sequence }) => sequence > acknowledgedSequence);
    return {
      kind: 'state',
      hasTerms: terms !== undefined,
      clockMs: 0,
      serverStartedAtMs: 1,
      running: [],
      ended: [...this.ended],
    };
  }

  close(): void {
    this.ended = [];
  }
}
