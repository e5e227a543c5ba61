import { createLogger } from 'bunyan';
import type { EngineSubmission } from '@guavaspindle/kernel/engine/engine-submission';
import type { JobOutcome } from '@guavaspindle/kernel/engine/job-outcome';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import { systemClock } from '@guavaspindle/kernel/time/system-clock';
import { EntryJobs } from '../src/entry/entry-jobs';
import type { LeaderPort } from '../src/links/leader-port';
import { linkTiming } from '../src/links/link-timing';
import { buildJobSubmission } from './fixtures/build-job-submission';

const NEVER = new Promise<void>(() => {});

/** Builds an `EntryJobs` without a leader. */
function buildEntry(hasRecentStoreFailure = false): EntryJobs {
  return new EntryJobs({
    clock: systemClock,
    log: createLogger({ name: 'test', level: 'fatal' }),
    metrics: { recordStart() {}, recordLeaseRenewal() {}, recordLoad() {}, recordJob() {} },
    findConfiguration: () => undefined,
    hasRecentStoreFailure: () => hasRecentStoreFailure,
    onLeaderLeaving() {},
  });
}

/** Builds a leader that records submitted jobs and dropped callers. */
function buildLeader(
  isDomainOnly = false,
): LeaderPort & { submissions: Omit<EngineSubmission, 'owner'>[]; drops: string[] } {
  const submissions: Omit<EngineSubmission, 'owner'>[] = [];
  const drops: string[] = [];
  return {
    isDomainOnly,
    submissions,
    drops,
    submitJob: (job) => submissions.push({ ...job, doneTasks: new Set(job.doneTasks) }),
    cancelJob() {},
    dropCaller: (id) => drops.push(id),
  };
}

describe('EntryJobs', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('answers every connection on which a job was sent, but submits the job once', async () => {
    const entry = buildEntry();
    const leader = buildLeader();
    entry.setLeader(leader);
    const { spec } = buildJobSubmission();
    const answers = [entry.runJob(spec, 2_000, NEVER), entry.runJob(spec, 2_000, NEVER)];
    entry.endJob(spec.id, { kind: 'completed' });
    expect(await Promise.all(answers)).toEqual([{ kind: 'completed' }, { kind: 'completed' }]);
    expect(leader.submissions).toHaveLength(1);
  });

  it('tells a new leader which tasks are done and how long prior runs may stay alive', async () => {
    const entry = buildEntry();
    const first = buildLeader();
    entry.setLeader(first);
    const { spec } = buildJobSubmission({ taskCount: 2 });
    void entry.runJob(spec, 9_000, NEVER);
    const task = `${spec.id}.0.0.1` as TaskId;
    entry.reportDone(spec.id, task);
    entry.setLeader(undefined);
    await jest.advanceTimersByTimeAsync(400);
    const second = buildLeader();
    entry.setLeader(second);
    expect(second.submissions[0]).toMatchObject({ isResumed: true, ageMs: 400 });
    expect(second.submissions[0]!.doneTasks).toEqual(new Set([task]));
    expect(second.submissions[0]!.priorRunsExpireInMs).toBe(linkTiming.priorRunLifetimeMs - 400);
  });

  it('restarts the prior-run lifetime at each loss of a leader, as each leader has its own runs', async () => {
    const entry = buildEntry();
    entry.setLeader(buildLeader());
    const { spec } = buildJobSubmission();
    void entry.runJob(spec, 20_000, NEVER);
    entry.setLeader(undefined);
    await jest.advanceTimersByTimeAsync(500);
    entry.setLeader(buildLeader());
    await jest.advanceTimersByTimeAsync(6_000);
    entry.setLeader(undefined);
    const third = buildLeader();
    entry.setLeader(third);
    expect(third.submissions[0]!.priorRunsExpireInMs).toBe(linkTiming.priorRunLifetimeMs);
  });

  it('tells the next leader that runs of a cut-off domain’s leader may be on unknown servers', () => {
    const entry = buildEntry();
    entry.setLeader(buildLeader(true));
    void entry.runJob(buildJobSubmission().spec, 20_000, NEVER);
    entry.setLeader(undefined);
    const second = buildLeader();
    entry.setLeader(second);
    expect(second.submissions[0]).toMatchObject({ isResumed: true, mayRunOnUnknownServers: true });
  });

  it('tells it the same after a store failure, as the lost leader may have been cut off too', () => {
    const entry = buildEntry(true);
    entry.setLeader(buildLeader());
    void entry.runJob(buildJobSubmission().spec, 20_000, NEVER);
    entry.setLeader(undefined);
    const second = buildLeader();
    entry.setLeader(second);
    expect(second.submissions[0]).toMatchObject({ isResumed: true, mayRunOnUnknownServers: true });
  });

  it.each<[string, boolean, JobOutcome['kind']]>([
    ['reports a job that no leader has received as not run', false, 'not-run'],
    ['reports the outcome of a job that a leader has received as unknown', true, 'unknown'],
  ])('%s', async (_name, hasLeader, kind) => {
    const entry = buildEntry();
    entry.setLeader(hasLeader ? buildLeader() : undefined);
    const outcome = entry.runJob(buildJobSubmission().spec, 2_000, NEVER);
    await jest.advanceTimersByTimeAsync(2_100);
    expect((await outcome).kind).toBe(kind);
    expect(entry.openJobs).toBe(0);
  });

  it('drops a job when its last caller has left', async () => {
    const entry = buildEntry();
    const leader = buildLeader();
    entry.setLeader(leader);
    const { spec } = buildJobSubmission();
    void entry.runJob(spec, 2_000, Promise.resolve());
    await jest.advanceTimersByTimeAsync(1);
    expect(leader.drops).toEqual([spec.id]);
  });
});
