import type { EngineSubmission } from '@guavaspindle/kernel/engine/engine-submission';
import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { PoolLayout } from '@guavaspindle/kernel/layout/pool-layout';
import type { PoolPart } from '@guavaspindle/kernel/layout/pool-part';
import { listParts } from '@guavaspindle/kernel/layout/list-parts';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import { computeRendezvousScore } from '@guavaspindle/kernel/placement/compute-rendezvous-score';
import type { CancelHints } from '../cancels/cancel-hints';
import type { EntryPort } from '../links/entry-port';
import type { InstanceView } from '../links/instance-view';
import type { LinkHost } from '../links/link-host';
import type { LeaderElection } from './leader-election';

/** Number of parts of other failure domains to which an instance may open links. */
const MAX_REMOTE_PARTS = 8;
/** A link to a part of another failure domain is closed this long after the last job needed it. */
const IDLE_REMOTE_LINK_MS = 5_000;
/** Reports of the load of other parts are needed for this long after a task had to wait. */
const REPORTS_NEEDED_MS = 1_000;

interface PartElectionsOptions {
  /** The failure domain of this instance. */
  readonly domain: DomainName;
  readonly clock: Clock;
  openElection(part: PoolPart): LeaderElection;
  /** Returns whether open jobs of this instance have been submitted to a part. */
  hasJobsAt(part: PartId): boolean;
  /** Called when the parts have changed to which this instance may open links. */
  onPartsChanged(parts: readonly PoolPart[]): void;
}

/** Chooses the parts that links may be opened to: all of the own domain, and the same others in the whole domain. */
function choosePartsToLink(layout: PoolLayout, domain: DomainName): readonly PoolPart[] {
  const parts = listParts(layout);
  const own = parts.filter((part) => part.domain === undefined || part.domain === domain);
  const remote = parts
    .filter((part) => !own.includes(part))
    .sort((a, b) => computeRendezvousScore(b.id, domain) - computeRendezvousScore(a.id, domain));
  return [...own, ...remote.slice(0, MAX_REMOTE_PARTS)];
}

/** The elections of the parts of the present layout, one for each part that this instance links to. */
export class PartElections implements LinkHost {
  private readonly elections = new Map<PartId, LeaderElection>();

  /** When a job last needed a part, in monotonic milliseconds. */
  private readonly neededAtMs = new Map<PartId, number>();

  private reportsNeededAtMs = -Infinity;

  private isClosed = false;

  constructor(private readonly options: PartElectionsOptions) {}

  /** Opens the elections of new parts and closes those of parts that no longer exist. */
  applyLayout(layout: PoolLayout): void {
    if (this.isClosed) {
      return;
    }
    const parts = choosePartsToLink(layout, this.options.domain);
    const ids = new Set(parts.map(({ id }) => id));
    const added = parts.filter(({ id }) => !this.elections.has(id));
    const removed = [...this.elections.keys()].filter((id) => !ids.has(id));
    if (added.length === 0 && removed.length === 0) {
      return;
    }
    removed.forEach((id) => {
      this.elections.get(id)?.close();
      this.elections.delete(id);
    });
    this.options.onPartsChanged(parts);
    added.forEach((part) => {
      const election = this.options.openElection(part);
      this.elections.set(part.id, election);
      void election.run();
    });
  }

  /** Opens a link to a part, or keeps it open, because a job needs it. */
  requestPart(part: PartId): void {
    this.neededAtMs.set(part, this.options.clock.now());
    this.elections.get(part)?.wakeUp();
  }

  /**
   * Returns whether a link to a part of another failure domain is needed: for jobs, or for the spare
   * capacity that its leader reports to the leaders of other parts.
   */
  isPartNeeded(part: PartId): boolean {
    const { clock, hasJobsAt } = this.options;
    const neededAtMs = this.neededAtMs.get(part);
    return (
      this.countLedParts() > 0 ||
      (neededAtMs !== undefined && clock.now() - neededAtMs < IDLE_REMOTE_LINK_MS) ||
      hasJobsAt(part)
    );
  }

  /** Asks the leaders of the other parts for reports of their load, since tasks wait for servers here. */
  requestReports(): void {
    const wereNeeded = this.isReportNeeded();
    this.reportsNeededAtMs = this.options.clock.now();
    if (!wereNeeded) {
      this.elections.forEach((election) => election.requestReport());
    }
  }

  /** Returns whether reports of the load of other parts are needed. */
  isReportNeeded(): boolean {
    return this.options.clock.now() - this.reportsNeededAtMs < REPORTS_NEEDED_MS;
  }

  /** Ends the pause between two steps of every election. */
  wakeUp(): void {
    this.elections.forEach((election) => election.wakeUp());
  }

  /** Returns whether jobs can be submitted to a leader now. */
  isConnected(): boolean {
    return [...this.elections.values()].some((election) => election.isConnected());
  }

  /** Counts the parts that this instance leads. */
  countLedParts(): number {
    return [...this.elections.values()].filter(({ isLeading }) => isLeading).length;
  }

  /** Returns whether this instance leads the first part of a layout; one instance does at a time. */
  isLeadingFirstPart(layout: PoolLayout): boolean {
    const [first] = listParts(layout);
    return first !== undefined && this.elections.get(first.id)?.isLeading === true;
  }

  /** Records that the leader of a part is giving up the leadership. */
  recordLeaderLeaving(part: PartId, successor: InstanceName | undefined): void {
    this.elections.get(part)?.recordLeaderLeaving(successor);
  }

  /** Hands over all leaderships of this instance; resolves when they are over or time has run out. */
  async drain(timeoutMs: number): Promise<void> {
    await Promise.all([...this.elections.values()].map((election) => election.drain(timeoutMs)));
  }

  /** Stops leading, closes all links and ends all elections. */
  close(): void {
    this.isClosed = true;
    this.elections.forEach((election) => election.close());
  }

  openEntry(
    part: PartId,
    name: InstanceName,
    port: EntryPort,
    listsJobs: boolean,
  ): 'all' | 'domain' | undefined {
    return this.elections.get(part)?.openEntry(name, port, listsJobs);
  }

  listServers(part: PartId): readonly ServerReport[] {
    return this.elections.get(part)?.listServers() ?? [];
  }

  adoptUnlistedServers(part: PartId, servers: readonly ServerReport[]): void {
    this.elections.get(part)?.adoptUnlistedServers(servers);
  }

  closeEntry(part: PartId, name: InstanceName, port: EntryPort): void {
    this.elections.get(part)?.closeEntry(name, port);
  }

  submitJob(part: PartId, submission: EngineSubmission): void {
    this.elections.get(part)?.submitJob(submission);
  }

  dropUnlistedJobs(part: PartId, owner: InstanceName): void {
    this.elections.get(part)?.dropUnlistedJobs(owner);
  }

  cancelJob(part: PartId, id: JobId, hints: CancelHints, answer: (isKnown: boolean) => void): void {
    this.elections.get(part)?.cancelJob(id, hints, answer);
  }

  recordCancels(part: PartId, ids: readonly JobId[]): void {
    this.elections.get(part)?.recordCancels(ids);
  }

  recordDoneTasks(part: PartId, tasks: readonly TaskId[]): void {
    this.elections.get(part)?.recordDoneTasks(tasks);
  }

  dropCaller(part: PartId, id: JobId, owner: InstanceName): void {
    this.elections.get(part)?.dropCaller(id, owner);
  }

  getView(part: PartId): InstanceView {
    return (
      this.elections.get(part)?.getView() ?? {
        heardLeader: '',
        isIsolated: false,
        leadsDomain: false,
      }
    );
  }
}
