import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { OrderAnswer } from '@guavaspindle/platform-adapter/servers/order-answer';
import type { Renewal } from '@guavaspindle/platform-adapter/servers/renewal';
import type { ReportedEnd } from '@guavaspindle/platform-adapter/servers/reported-end';
import type { ServerPort } from '@guavaspindle/platform-adapter/servers/server-port';
import type { ServerState } from '@guavaspindle/platform-adapter/servers/server-state';
import type { StartOrder } from '@guavaspindle/platform-adapter/servers/start-order';

/** An in-memory backend server whose runs end at once. */
export class InMemoryServer implements ServerPort {
  private ended: ReportedEnd[] = [];

  private sequence = 0;

  async startRun({ task, run }: StartOrder): Promise<OrderAnswer> {
    this.sequence += 1;
    this.ended.push({ sequence: this.sequence, task, run, how: 'done' });
    return { kind: 'accepted', clockMs: 0 };
  }

  async stopRun(_task: TaskId, _run: number): Promise<OrderAnswer> {
    return { kind: 'accepted', clockMs: this.sequence };
  }

  async renewLeases({ acknowledged }: Renewal): Promise<ServerState> {
    this.ended = this.ended.filter(({ sequence }) => sequence > acknowledged);
    return { kind: 'state', clockMs: 0, bornMs: 1, running: [], ended: [...this.ended] };
  }

  close(): void {
    this.ended = [];
  }
}
