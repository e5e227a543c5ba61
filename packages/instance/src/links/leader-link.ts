/* eslint-disable no-await-in-loop -- messages are handled one at a time */
import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import type { EngineSubmission } from '@guavaspindle/kernel/engine/engine-submission';
import { parseJobIdOfTask } from '@guavaspindle/kernel/engine/parse-job-id-of-task';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import {
  ClosedDomainsSchema,
  DoneTaskSchema,
  EntryBatchSchema,
  EntryHelloSchema,
  InstanceService,
  JobCancelSchema,
  type EntryBatch,
  type LeaderBatch,
  type LeaderHello,
} from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';
import type { CancelRequest } from '../cancels/cancel-request';
import type { RegisteredInstance } from '../registry/registered-instance';
import { BatchQueue } from './batch-queue';
import type { ClosedDomains } from './closed-domains';
import { decodeCrash } from './decode-crash';
import { decodeOutcome } from './decode-outcome';
import { decodeServer } from './decode-server';
import { encodeJob } from './encode-job';
import { encodeServer } from './encode-server';
import type { EntryPort } from './entry-port';
import type { LeaderPort } from './leader-port';
import { isConnectionRefused } from './is-connection-refused';
import { LinkMonitor } from './link-monitor';
import { LinkSession } from './link-session';
import { linkTiming } from './link-timing';
import { encodePingFlags } from './encode-ping-flags';
import type { PingFlags } from './ping-flags';
import type { ServerExchange } from './server-exchange';

/** Receipts that may be under way at the same time; HTTP/2 sessions of Node.js allow ten pings. */
const MAX_UNANSWERED_RECEIPTS = 6;

/** The link from this entry instance to the remote leader of a part. */
export class LeaderLink implements LeaderPort {
  private readonly batches = new BatchQueue<EntryBatch>(() => create(EntryBatchSchema));

  private readonly session: LinkSession;

  private readonly monitor: LinkMonitor;

  private leadsDomainOnly = false;

  /** Whether the leader reads pings; one of an earlier build needs empty batches. */
  private isPingRead = false;

  private isClosed = false;

  private pingTimer: NodeJS.Timeout | undefined;

  /** Number of the last batch that needed a receipt; 0 if there was none. */
  private receivedBatch = 0;

  private unansweredReceipts = 0;

  /** Whether the next ping is due only after the longer pause of an idle link. */
  private isPausedIdle = false;

  /**
   * @param silenceTimeoutMs - the link is closed after this time without an answer to a ping
   * @param readFlags - returns what the next ping has to tell the leader
   * @param servers - the servers that this instance knows
   * @param onClosed - called once when the link is closed; `hasFailed` if the leader fell silent or the connection
   *   broke off, so that the leader's process may have ended
   */
  constructor(
    private readonly part: PartId,
    readonly leader: RegisteredInstance,
    private readonly self: RegisteredInstance,
    private readonly clock: Clock,
    private readonly entry: EntryPort,
    silenceTimeoutMs: number,
    private readonly readFlags: () => PingFlags,
    private readonly servers: ServerExchange,
    private readonly onClosed: (reason: string, hasFailed: boolean) => void,
  ) {
    this.session = new LinkSession(`http://${leader.address}`);
    this.monitor = new LinkMonitor(silenceTimeoutMs);
  }

  get isDomainOnly(): boolean {
    return this.leadsDomainOnly;
  }

  /** Returns whether the leader has answered lately. */
  hasHeardLeader(): boolean {
    return this.monitor.hasHeard(this.clock.now());
  }

  /** Asks for a report of the leader's load if the next ping is not due soon. */
  requestReport(): void {
    if (this.isPausedIdle) {
      this.requestPing();
    }
  }

  /** Sends a ping now unless one is unanswered. */
  requestPing(): void {
    if (!this.monitor.isWaiting) {
      this.sendPing();
      this.schedulePing();
    }
  }

  /**
   * Opens the link.
   *
   * @returns `up`; `not-leader` if the other instance does not lead; `refused` if nothing listens at its
   * address; `unreachable` if it does not answer in time or the stream fails
   */
  async open(): Promise<'up' | 'not-leader' | 'refused' | 'unreachable'> {
    const transport = createConnectTransport({
      baseUrl: `http://${this.leader.address}`,
      httpVersion: '2',
      sessionManager: this.session,
      useBinaryFormat: true,
    });
    const client = createClient(InstanceService, transport);
    this.batches.addToBatch((batch) => {
      batch.hello = create(EntryHelloSchema, {
        instance: this.self.name,
        domain: this.self.domain,
        leaderIncarnation: this.leader.incarnation,
        part: this.part,
        listsJobs: true,
        sendsReceipts: true,
        serverDigest: this.servers.computeDigest(),
      });
    });
    const replies = client.openLink(this.batches)[Symbol.asyncIterator]();
    const timeout = this.clock.pause(linkTiming.openTimeoutMs).then(() => undefined);
    let wasRefused = false;
    const hello = replies.next().catch((error: unknown) => {
      wasRefused = isConnectionRefused(error);
      return undefined;
    });
    const first = await Promise.race([hello, timeout]);
    if (first === undefined || first.done === true || first.value.hello?.isLeader !== true) {
      this.close('not opened');
      if (first?.done === false) {
        return 'not-leader';
      }
      return wasRefused ? 'refused' : 'unreachable';
    }
    this.leadsDomainOnly = first.value.hello.isDomainOnly;
    this.isPingRead = first.value.hello.readsPings;
    this.exchangeServers(first.value.hello);
    this.schedulePing();
    void this.handleReplies(replies);
    return 'up';
  }

  submitJob(submission: Omit<EngineSubmission, 'owner'>): void {
    this.batches.addToBatch((batch) => batch.jobs.push(encodeJob(submission)));
    if (this.isPausedIdle) {
      this.schedulePing();
    }
  }

  reportAllSubmitted(): void {
    this.batches.addToBatch((batch) => {
      batch.allJobsSubmitted = true;
    });
  }

  reportClosedDomains({ revision, domains }: ClosedDomains): void {
    this.batches.addToBatch((batch) => {
      batch.closedDomains = create(ClosedDomainsSchema, { revision, domains: [...domains] });
    });
  }

  cancelJob(id: JobId, { isKnown, isForwarded, request }: CancelRequest): void {
    this.batches.addToBatch((batch) =>
      batch.cancels.push(create(JobCancelSchema, { id, isKnown, isForwarded, request })),
    );
  }

  reportCancels(ids: readonly JobId[]): void {
    this.batches.addToBatch((batch) => {
      batch.cancelledJobs.push(...ids);
    });
  }

  reportDoneTasks(tasks: readonly TaskId[]): void {
    this.batches.addToBatch((batch) => {
      batch.doneTasks.push(
        ...tasks.map((task) => create(DoneTaskSchema, { jobId: parseJobIdOfTask(task), task })),
      );
    });
  }

  dropCaller(id: JobId): void {
    this.batches.addToBatch((batch) =>
      batch.cancels.push(create(JobCancelSchema, { id, callerLeft: true })),
    );
  }

  /** Closes the link; no effect if it is already closed. */
  close(reason: string, hasFailed = false): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    clearTimeout(this.pingTimer);
    this.batches.close();
    this.session.abort();
    this.onClosed(reason, hasFailed);
  }

  /** Passes on, before the jobs, which servers earlier leaders may have runs on. */
  private exchangeServers({ isDomainOnly, knowsSameServers, servers }: LeaderHello): void {
    if (isDomainOnly || knowsSameServers) {
      return;
    }
    const unknown = this.servers.exchangeServers(servers.map(decodeServer));
    if (unknown.length > 0) {
      this.batches.addToBatch((batch) => batch.servers.push(...unknown.map(encodeServer)));
    }
  }

  private schedulePing(): void {
    clearTimeout(this.pingTimer);
    if (this.isClosed) {
      return;
    }
    this.isPausedIdle = this.isIdle();
    this.pingTimer = setTimeout(
      () => this.checkSilence(),
      this.isPingRead
        ? this.monitor.computePauseMs(this.clock.now(), this.isPausedIdle)
        : linkTiming.batchPingIntervalMs,
    );
  }

  private checkSilence(): void {
    if (this.monitor.isSilent(this.clock.now())) {
      // Messages that arrived while the event loop was blocked are read before the link is closed.
      setImmediate(() => {
        if (this.monitor.isSilent(this.clock.now())) {
          this.close('silent', true);
        } else {
          this.schedulePing();
        }
      });
    } else {
      this.sendPing();
      this.schedulePing();
    }
  }

  private sendPing(): void {
    this.monitor.recordPing(this.clock.now());
    if (this.isPingRead) {
      this.session.sendPing(encodePingFlags(this.readFlags(), this.receivedBatch), () =>
        this.monitor.recordMessage(),
      );
    } else {
      this.batches.addToBatch(() => {});
    }
  }

  /** Confirms the last batch that needed a receipt, unless many receipts are unanswered: the last one says it all. */
  private sendReceipt(): void {
    if (this.unansweredReceipts >= MAX_UNANSWERED_RECEIPTS) {
      return;
    }
    this.unansweredReceipts += 1;
    const batch = this.receivedBatch;
    const flags = { ...this.readFlags(), isReportNeeded: false };
    this.session.sendPing(encodePingFlags(flags, batch), () => {
      this.unansweredReceipts -= 1;
      this.monitor.recordMessage();
      if (batch < this.receivedBatch && this.unansweredReceipts === 0) {
        this.sendReceipt();
      }
    });
  }

  /** Returns whether nobody at this instance waits for the leader. */
  private isIdle(): boolean {
    const { isIdle, isReportNeeded } = this.readFlags();
    return isIdle && !isReportNeeded;
  }

  private async handleReplies(replies: AsyncIterator<LeaderBatch>): Promise<void> {
    try {
      for (;;) {
        const next = await replies.next();
        if (next.done === true || this.isClosed) {
          break;
        }
        this.monitor.recordMessage();
        this.handleBatch(next.value);
      }
      this.close('stream ended by the leader');
    } catch (error) {
      this.close((error as Error).message, true);
    }
  }

  private handleBatch(batch: LeaderBatch): void {
    batch.done.forEach(({ jobId, task }) => this.entry.reportDone(jobId as JobId, task as TaskId));
    batch.moved.forEach(({ id, part, wasMovedBefore }) =>
      this.entry.moveJob(id as JobId, part as PartId, wasMovedBefore),
    );
    if (batch.load !== undefined) {
      this.entry.reportLoad(batch.load);
    }
    batch.crashes.forEach((crash) => this.entry.reportCrash(decodeCrash(crash)));
    batch.lives.forEach(({ server, startedAtMs, clearedTasks }) =>
      this.entry.reportLife(server as ServerId, startedAtMs, clearedTasks as TaskId[]),
    );
    batch.hiddenJobs.forEach((id) => this.entry.reportHiddenRun(id as JobId));
    if (batch.settledServers.length > 0) {
      this.entry.reportSettledServers(batch.settledServers as ServerId[]);
    }
    if (batch.unstartedJobs.length > 0) {
      this.entry.reportUnstarted(batch.unstartedJobs as JobId[]);
    }
    batch.ended.forEach((ended) => this.entry.endJob(ended.id as JobId, decodeOutcome(ended)));
    batch.cancelAnswers.forEach(({ id, isKnown, isForwarded, request }) =>
      this.entry.answerCancel(id as JobId, isKnown, isForwarded, request),
    );
    if (batch.cancelledJobs.length > 0) {
      this.entry.reportCancels(batch.cancelledJobs as JobId[]);
    }
    const pending = Object.entries(batch.pending);
    if (pending.length > 0) {
      this.entry.reportPending(new Map(pending));
    }
    if (batch.isLeaving) {
      this.entry.reportLeaving(
        batch.successor === '' ? undefined : (batch.successor as InstanceName),
      );
    }
    if (batch.number > 0) {
      this.receivedBatch = batch.number;
      this.sendReceipt();
    }
  }
}
