import { compareStamps } from '@guavaspindle/kernel/events/compare-stamps';
import type { EventRingBuffer } from '@guavaspindle/kernel/events/event-ring-buffer';
import {
  ProcessService,
  type RecordedEvent as EventMessage,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import { ClientPool } from '@guavaspindle/runtime/control/client-pool';
import type { ProcessContext } from '@guavaspindle/runtime/process/process-context';
import type { Membership } from '../membership/membership';

const READ_TIMEOUT_MS = 1_500;

/** One event of the merged time line. */
interface TimelineEvent {
  readonly wallMs: number;
  readonly logical: number;
  readonly process: string;
  readonly type: string;
  readonly jobId: string;
  readonly detail: unknown;
}

/** The merged time line, and the processes that could not be asked. */
interface Timeline {
  readonly events: readonly TimelineEvent[];
  readonly unreachable: readonly string[];
}

/** Reads an event from its message. */
function readEvent(message: EventMessage): TimelineEvent {
  const { wallMs, logical, process, type, jobId, detailJson } = message;
  return { wallMs, logical, process, type, jobId, detail: JSON.parse(detailJson) };
}

/** Collects the events of all processes and merges them so that causes come before effects. */
export class TimelineCollector {
  private readonly clients: ClientPool<typeof ProcessService>;

  constructor(
    context: ProcessContext,
    private readonly membership: Membership,
    private readonly ring: EventRingBuffer,
  ) {
    this.clients = new ClientPool(ProcessService, context.clientInterceptors);
  }

  /** Collects events from a wall time on, of one job if given. */
  async collectTimeline(sinceMs: number, jobId: string | undefined): Promise<Timeline> {
    const others = [
      ...this.membership.listMembers().map((member) => member.address),
      ...this.membership.listAgents().map((agent) => agent.address),
    ];
    const read = await Promise.all(
      others.map((address) => this.readProcess(address, sinceMs, jobId)),
    );
    const own = this.ring.readEvents(sinceMs, jobId).map((event) => ({
      ...event.stamp,
      process: event.process,
      type: event.body.type,
      jobId: event.body.jobId ?? '',
      detail: event.body.detail,
    }));
    const events = [...own, ...read.flatMap((part) => part ?? [])];
    return {
      events: events.sort(
        (left, right) => compareStamps(left, right) || left.process.localeCompare(right.process),
      ),
      unreachable: others.filter((_address, index) => read[index] === undefined),
    };
  }

  /** Asks a process to shut down gracefully; false if it cannot be reached. */
  async drainProcess(address: string): Promise<boolean> {
    try {
      await this.clients.getClient(address).drain({}, { timeoutMs: READ_TIMEOUT_MS });
      return true;
    } catch {
      return false;
    }
  }

  /** Closes connections. */
  close(): void {
    this.clients.close();
  }

  private async readProcess(
    address: string,
    sinceMs: number,
    jobId: string | undefined,
  ): Promise<TimelineEvent[] | undefined> {
    try {
      const reply = await this.clients
        .getClient(address)
        .readEvents({ sinceMs, jobId: jobId ?? '' }, { timeoutMs: READ_TIMEOUT_MS });
      return reply.events.map(readEvent);
    } catch {
      return undefined;
    }
  }
}
