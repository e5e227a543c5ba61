import type { EngineServer } from '@guavaspindle/kernel/engine/engine-server';
import { parseJobIdOfTask } from '@guavaspindle/kernel/engine/parse-job-id-of-task';
import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { ServerId } from '@guavaspindle/kernel/ids/server-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { EntryPort } from '../links/entry-port';
import { linkTiming } from '../links/link-timing';
import type { ServerSession } from './server-session';

/**
 * How long the leader keeps polling a server whose store entry has been deleted: an earlier leader in
 * the same network partition may still use that server. After a longer partition, the entry instances
 * inside it report that runs may be on unknown servers.
 */
const RETENTION_MS = 60_000;

interface DepartedServersOptions {
  readonly clock: Clock;
  /** The linked entry instances. */
  readonly entries: ReadonlyMap<InstanceName, EntryPort>;
  findServer(id: ServerId): EngineServer | undefined;
  findSession(id: ServerId): ServerSession | undefined;
  /** Finds the instance that waits for the job of a task. */
  findOwner(task: TaskId): InstanceName | undefined;
  /** Begins to poll a server. */
  registerServer(report: ServerReport): void;
  /** Closes the session with a server that no leader can have runs on any more. */
  closeSession(id: ServerId): void;
}

interface DepartedServer {
  /** When this leader learned that the server has no entry, in monotonic milliseconds. */
  readonly sinceMs: number;
  /** Whether the owners of the jobs with runs there have been told, and all entry instances that they may forget it. */
  isSettled: boolean;
}

/**
 * The servers without an entry in the store that may still have runs. A leader that is elected now does not know
 * them, so the entry instances remember a server until it is settled here, and then the jobs with runs there.
 */
export class DepartedServers {
  private readonly servers = new Map<ServerId, DepartedServer>();

  /** When this leader began, in monotonic milliseconds. */
  private readonly beganMs: number;

  constructor(private readonly options: DepartedServersOptions) {
    this.beganMs = options.clock.now();
  }

  hasServer(id: ServerId): boolean {
    return this.servers.has(id);
  }

  /** Lists those of the given servers that the entry instances must not forget yet. */
  listUnsettled(servers: Iterable<EngineServer>): readonly ServerReport[] {
    return [...servers]
      .map(({ report }) => report)
      .filter(({ id }) => this.servers.get(id)?.isSettled !== true);
  }

  /** Adds a server on which this leader starts no more. */
  addServer(server: EngineServer): void {
    const { id } = server.report;
    const nowMs = this.options.clock.now();
    const isSettled =
      server.state === 'usable' || nowMs - this.beganMs >= linkTiming.priorRunLifetimeMs;
    this.servers.set(id, { sinceMs: nowMs, isSettled });
    this.reportHiddenRuns(id);
    if (isSettled) {
      this.settleServer(id);
    }
  }

  /** Polls servers that an earlier leader used, or settles them once more for an instance that remembers them. */
  adoptUnlistedServers(reports: readonly ServerReport[]): void {
    const { clock, findServer, registerServer } = this.options;
    reports.forEach((report) => {
      const { id } = report;
      const known = this.servers.get(id);
      if (known !== undefined) {
        known.isSettled = false;
      } else if (findServer(id) === undefined) {
        registerServer({ ...report, isDraining: true });
        this.servers.set(id, { sinceMs: clock.now(), isSettled: false });
      }
    });
  }

  /** Forgets a server that has an entry again. */
  deleteServer(id: ServerId): void {
    this.servers.delete(id);
  }

  /** Settles the servers whose runs are known or over, and closes those that are no longer used. */
  check(): void {
    this.servers.forEach((server, id) => {
      const { findServer, findSession, closeSession, clock } = this.options;
      const departedForMs = clock.now() - server.sinceMs;
      const session = findSession(id);
      const isNoLongerUsed =
        session?.isConnectionRefused() === true || departedForMs >= RETENTION_MS;
      const isOver = session === undefined || (isNoLongerUsed && session.isIdle());
      const isKnown =
        findServer(id)?.state === 'usable' || departedForMs >= linkTiming.priorRunLifetimeMs;
      if (!server.isSettled && (isOver || isKnown)) {
        this.servers.set(id, { ...server, isSettled: true });
        this.reportHiddenRuns(id);
        this.settleServer(id);
      }
      if (isOver) {
        this.servers.delete(id);
        closeSession(id);
      }
    });
  }

  /** Tells the new owner of a job if the next leader may not know the servers of its runs. */
  reportJob(job: JobId, owner: InstanceName): void {
    this.servers.forEach((_server, id) => {
      const runs = [...(this.options.findServer(id)?.runs.keys() ?? [])];
      if (runs.some((task) => parseJobIdOfTask(task) === job)) {
        this.options.entries.get(owner)?.reportHiddenRun(job);
      }
    });
  }

  private settleServer(id: ServerId): void {
    this.options.entries.forEach((port) => port.reportSettledServers([id]));
  }

  /** Tells the owners of the jobs on a server that the next leader may not know the server. */
  private reportHiddenRuns(id: ServerId): void {
    const { entries, findServer, findOwner } = this.options;
    findServer(id)?.runs.forEach(({ task }) => {
      const owner = findOwner(task);
      if (owner !== undefined) {
        entries.get(owner)?.reportHiddenRun(parseJobIdOfTask(task));
      }
    });
  }
}
