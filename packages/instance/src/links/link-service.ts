/* eslint-disable no-await-in-loop -- messages are handled one at a time */
import type { Http2Session } from 'node:http2';
import { create } from '@bufbuild/protobuf';
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect';
import type Logger from 'bunyan';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import {
  GetViewResponseSchema,
  LeaderBatchSchema,
  type EntryBatch,
  type GetViewRequest,
  type GetViewResponse,
  type InstanceService,
  type LeaderBatch,
} from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';
import { sessionKey } from '@guavaspindle/runtime/control/session-key';
import { runIsolated } from '../process/run-isolated';
import type { ClosedDomains } from './closed-domains';
import { computeServerDigest } from './compute-server-digest';
import { decodeJob } from './decode-job';
import { decodeReceivedBatch } from './decode-received-batch';
import { decodeServer } from './decode-server';
import { encodeServer } from './encode-server';
import type { LinkHost } from './link-host';
import { linkTiming } from './link-timing';
import { decodePingFlags } from './decode-ping-flags';
import { RemoteEntry } from './remote-entry';

/** An open link, seen from the leader. */
interface OpenLink {
  readonly entry: RemoteEntry;
  readonly name: InstanceName;
  readonly part: PartId;
  close(): void;
}

/** Returns whether a batch, of an instance of an earlier build, asks only for an answer. */
function isPing(batch: EntryBatch): boolean {
  const { hello, jobs, cancels, cancelledJobs, doneTasks, allJobsSubmitted, closedDomains } = batch;
  const isEmpty = [jobs, cancels, cancelledJobs, doneTasks].every(({ length }) => length === 0);
  return hello === undefined && isEmpty && !allJobsSubmitted && closedDomains === undefined;
}

/** Builds a function that sends a ping on a connection and calls back once the peer has answered it. */
function buildPingSender(session: Http2Session): (onAnswered: () => void) => void {
  return (onAnswered) => {
    if (!session.destroyed) {
      session.ping((error) => {
        if (error === null) {
          onAnswered();
        }
      });
    }
  };
}

/** Serves the links of entry instances and requests for this instance's view of the leader. */
export class LinkService implements ServiceImpl<typeof InstanceService> {
  private readonly links = new Set<OpenLink>();

  /** Runs while links are open. */
  private silenceTimer: NodeJS.Timeout | undefined;

  /** @param onClosedDomains - called when an entry instance tells which failure domains are evacuated */
  constructor(
    private readonly host: LinkHost,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly onClosedDomains: (closed: ClosedDomains) => void = () => {},
  ) {}

  getView({ part }: GetViewRequest): GetViewResponse {
    return create(GetViewResponseSchema, this.host.getView(part as PartId));
  }

  async *openLink(
    requests: AsyncIterable<EntryBatch>,
    context?: Pick<HandlerContext, 'values'>,
  ): AsyncGenerator<LeaderBatch> {
    const iterator = requests[Symbol.asyncIterator]();
    const first = await iterator.next();
    const hello = first.done === true ? undefined : first.value.hello;
    const name = (hello?.instance ?? '') as InstanceName;
    const part = (hello?.part ?? '') as PartId;
    const domain = hello?.domain ? (hello.domain as DomainName) : undefined;
    const session = context?.values.get(sessionKey);
    const entry = new RemoteEntry(
      this.clock,
      session && buildPingSender(session),
      session !== undefined && hello?.sendsReceipts === true,
    );
    const scope =
      name === '' ? undefined : this.host.openEntry(part, name, entry, hello?.listsJobs === true);
    const servers = scope === 'all' ? this.host.listServers(part) : [];
    const knowsSameServers = hello?.serverDigest === computeServerDigest(servers);
    const answer = create(LeaderBatchSchema, {
      hello: {
        isLeader: scope !== undefined,
        isDomainOnly: scope === 'domain',
        readsPings: session !== undefined,
        servers: knowsSameServers ? [] : servers.map(encodeServer),
        knowsSameServers,
      },
    });
    if (scope === undefined) {
      yield answer;
      return;
    }
    // What is still to be read from an earlier link of the instance precedes its present list of jobs.
    [...this.links]
      .filter((link) => link.name === name && link.part === part)
      .forEach((link) => link.close());
    // The generator never resumes if the peer stops reading, so the receiver and the silence timer close
    // the entry without waiting for the `finally` block below.
    let isClosed = false;
    const handlePing = (payload: Uint8Array): void => {
      const { isIdle, isReportNeeded } = decodePingFlags(payload);
      entry.recordMessage(isIdle);
      entry.recordReceipt(decodeReceivedBatch(payload));
      if (isReportNeeded) {
        entry.answerPing();
      }
    };
    session?.on('ping', handlePing);
    const link: OpenLink = {
      entry,
      name,
      part,
      close: () => {
        if (isClosed) {
          return;
        }
        isClosed = true;
        this.dropLink(link);
        session?.off('ping', handlePing);
        entry.endLink();
        this.host.closeEntry(part, name, entry);
      },
    };
    this.addLink(link);
    const receive = async (): Promise<void> => {
      // Messages that a network partition has held back arrive after the link has been given up. The entry
      // instance has submitted their jobs elsewhere since then.
      for (let next = first; next.done !== true && !isClosed; next = await iterator.next()) {
        entry.recordMessage(false);
        this.handleBatch(next.value, part, { name, domain }, entry);
        if (isPing(next.value)) {
          entry.answerPing();
        }
      }
    };
    // A failed stream closes the entry like one that ends.
    void receive()
      .catch((error: unknown) => {
        this.log.debug({ entry: name, part, err: error }, 'link from an entry instance failed');
      })
      .finally(() => link.close());
    try {
      yield answer;
      yield* entry.batches;
    } finally {
      link.close();
    }
  }

  private addLink(link: OpenLink): void {
    this.links.add(link);
    this.silenceTimer ??= setInterval(
      () => this.closeSilentLinks(),
      linkTiming.silenceCheckIntervalMs,
    );
  }

  private dropLink(link: OpenLink): void {
    this.links.delete(link);
    if (this.links.size === 0) {
      clearInterval(this.silenceTimer);
      this.silenceTimer = undefined;
    }
  }

  private closeSilentLinks(): void {
    const silent = [...this.links].filter(({ entry }) => entry.hasTimedOut());
    if (silent.length === 0) {
      return;
    }
    // Messages that arrived while the event loop was blocked are read before the links are closed.
    setImmediate(() => {
      silent.filter(({ entry }) => entry.hasTimedOut()).forEach((link) => link.close());
    });
  }

  private handleBatch(
    batch: EntryBatch,
    part: PartId,
    { name, domain }: { readonly name: InstanceName; readonly domain: DomainName | undefined },
    entry: RemoteEntry,
  ): void {
    const { closedDomains } = batch;
    if (closedDomains !== undefined) {
      runIsolated(this.log, { entry: name }, () =>
        this.onClosedDomains({
          revision: closedDomains.revision,
          domains: new Set(closedDomains.domains as DomainName[]),
        }),
      );
    }
    if (batch.servers.length > 0) {
      this.host.adoptUnlistedServers(part, batch.servers.map(decodeServer));
    }
    if (batch.cancelledJobs.length > 0) {
      this.host.recordCancels(part, batch.cancelledJobs as JobId[]);
    }
    if (batch.doneTasks.length > 0) {
      const tasks = batch.doneTasks.map(({ task }) => task as TaskId);
      this.host.recordDoneTasks(part, tasks);
    }
    batch.jobs.forEach((job) => {
      const id = job.id as JobId;
      const isSubmitted = runIsolated(this.log, { job: id, entry: name }, () =>
        this.host.submitJob(part, decodeJob(job, name, domain)),
      );
      if (!isSubmitted) {
        entry.endJob(id, { kind: 'unknown', reason: 'unexpected error of the leader' });
      }
    });
    batch.cancels.forEach(({ id, callerLeft, isKnown, isForwarded, request }) => {
      runIsolated(this.log, { job: id, entry: name }, () => {
        if (callerLeft) {
          this.host.dropCaller(part, id as JobId, name);
        } else {
          this.host.cancelJob(part, id as JobId, { isKnown, isForwarded }, (isJobKnown) =>
            entry.answerCancel(id as JobId, isJobKnown, isForwarded, request),
          );
        }
      });
    });
    if (batch.allJobsSubmitted) {
      this.host.dropUnlistedJobs(part, name);
    }
  }
}
