import type { JobId } from '../ids/job-id';
import type { ServerId } from '../ids/server-id';
import type { TaskId } from '../ids/task-id';
import type { CrashRecord } from './crash-record';
import type { EngineJob } from './engine-job';
import type { JobOutcome } from './job-outcome';
import { MAX_CRASHES } from './max-crashes';
import { parseJobIdOfTask } from './parse-job-id-of-task';

/** How long the crashes under a job's tasks are kept after the last one; longer than callers resend. */
const RETENTION_MS = 60_000;

/** Servers that may crash under a task, starts without an answer included, before it is given up. */
const MAX_POSSIBLE_CRASHES = 4;

interface CrashesOfJob {
  readonly records: Map<string, CrashRecord>;
  readonly lastAtMs: number;
}

interface ResolvedCrashes {
  /** The jobs of whose records some were decided on. */
  readonly jobs: ReadonlySet<JobId>;
  /** The tasks whose records of an earlier life were removed, since their runs belong to the answering one. */
  readonly clearedTasks: readonly TaskId[];
}

/**
 * Servers that crashed or fell silent while they ran a task. Outlives the job, since a copy of it that
 * is submitted later consists of the same tasks.
 */
export class CrashLedger {
  private readonly jobs = new Map<JobId, CrashesOfJob>();

  /** Adds a record, or confirms one, and evicts the jobs that had none for the retention period. */
  addRecord(record: CrashRecord, nowMs: number): void {
    const jobId = parseJobIdOfTask(record.task);
    const records = this.jobs.get(jobId)?.records ?? new Map<string, CrashRecord>();
    const key = `${record.task}/${record.serverId}/${record.serverStartedAtMs}`;
    const known = records.get(key);
    const isConfirmed = record.isConfirmed || known?.isConfirmed === true;
    const isUnseen = record.isUnseen === true && known?.isUnseen !== false;
    records.set(key, { ...record, isConfirmed, isUnseen });
    this.jobs.delete(jobId);
    this.jobs.set(jobId, { records, lastAtMs: nowMs });
    for (const [oldestId, oldest] of this.jobs) {
      if (nowMs - oldest.lastAtMs < RETENTION_MS) {
        return;
      }
      this.jobs.delete(oldestId);
    }
  }

  /**
   * Decides what happened to a server that had fallen silent: in the same life it has not crashed, and its
   * records are removed; any other life confirms them. The life that a record names may have ended before
   * the run began, so that of a run which the answering life has accepted is removed.
   *
   * @param startedAtMs - start of the life that has answered; undefined if the earlier one is taken to
   *   have ended
   * @param tasksOfLife - tasks whose last runs there the answering life has accepted
   */
  resolveServer(
    serverId: ServerId,
    startedAtMs: number | undefined,
    tasksOfLife: readonly TaskId[] = [],
  ): ResolvedCrashes {
    const jobs = new Set<JobId>();
    const clearedTasks: TaskId[] = [];
    this.jobs.forEach(({ records }, jobId) => {
      records.forEach((record, key) => {
        const isOtherLife = record.serverStartedAtMs !== startedAtMs;
        if (record.serverId !== serverId || (isOtherLife && record.isConfirmed)) {
          return;
        }
        jobs.add(jobId);
        if (!isOtherLife) {
          records.delete(key);
        } else if (startedAtMs !== undefined && tasksOfLife.includes(record.task)) {
          records.delete(key);
          clearedTasks.push(record.task);
        } else {
          records.set(key, { ...record, isConfirmed: true });
        }
      });
    });
    return { jobs, clearedTasks };
  }

  /** Returns whether any server crashed or fell silent under a task of any job, not long ago. */
  hasAnyRecords(): boolean {
    return this.jobs.size > 0;
  }

  /** Returns whether any server crashed or fell silent under a task of the job. */
  hasRecords(jobId: JobId): boolean {
    return (this.jobs.get(jobId)?.records.size ?? 0) > 0;
  }

  /** Lists the records of a job's tasks. */
  listRecords(jobId: JobId): CrashRecord[] {
    return [...(this.jobs.get(jobId)?.records.values() ?? [])];
  }

  /** Returns how a job is to end under one of whose open tasks as many servers have crashed as may, if any. */
  findFatalOutcome({ spec, tasks }: EngineJob): JobOutcome | undefined {
    if (!this.hasRecords(spec.id)) {
      return undefined;
    }
    const open = tasks.filter(({ state }) => state !== 'done').map(({ id }) => id);
    const fatal = open.find((task) => this.countCrashes(task) >= MAX_CRASHES);
    if (fatal !== undefined) {
      return { kind: 'failed', reason: `${MAX_CRASHES} servers crashed under task ${fatal}` };
    }
    const unclear = open.find((task) => this.countPossibleCrashes(task) >= MAX_POSSIBLE_CRASHES);
    return unclear === undefined
      ? undefined
      : {
          kind: 'abandoned',
          reason: `${MAX_POSSIBLE_CRASHES} servers crashed at or after starts of task ${unclear}`,
        };
  }

  /** Returns whether any server crashed or fell silent under a task, or may have done so. */
  isSuspect(task: TaskId): boolean {
    return this.listRecordsOfTask(task).length > 0;
  }

  /** Counts the servers that are known to have crashed under a task. */
  countCrashes(task: TaskId): number {
    return this.listRecordsOfTask(task).filter(
      ({ isConfirmed, isUnseen }) => isConfirmed && isUnseen !== true,
    ).length;
  }

  /**
   * Counts the servers that crashed or fell silent under a task. One that has crashed since it left a start
   * unanswered counts no longer: the task may never have been there.
   */
  countSuspicions(task: TaskId): number {
    return this.listRecordsOfTask(task).filter(
      ({ isConfirmed, isUnseen }) => !isConfirmed || isUnseen !== true,
    ).length;
  }

  private countPossibleCrashes(task: TaskId): number {
    return this.listRecordsOfTask(task).filter(({ isConfirmed }) => isConfirmed).length;
  }

  private listRecordsOfTask(task: TaskId): CrashRecord[] {
    return this.listRecords(parseJobIdOfTask(task)).filter((record) => record.task === task);
  }
}
