import type { RunObserver } from '@guavaspindle/platform-adapter/stand-ins/run-observer';
import type { CallerOutcome } from '@guavaspindle/platform-adapter/stand-ins/caller-outcome';

/** Time after the acknowledgement of a cancellation in which tasks of the job may still start. */
const CANCEL_MS = 3_000;

interface SoakJob {
  readonly taskCount: number;
  readonly tries: CallerOutcome[];
  readonly done: Set<string>;
  /** When the job's cancellation was acknowledged; undefined if it was not. */
  cancelledAtMs: number | undefined;
}

/** An end `done` of a task. */
interface DoneEnd {
  readonly server: number;
  /** Tries of the job that were sent before this end. */
  readonly tries: number;
  isAcknowledged: boolean;
  /** True if the task has been started after this end by a try that was sent before it. */
  isStartedAfter: boolean;
}

/** The job's id in a task's. */
function findJobId(task: string): string {
  return task.slice(0, task.indexOf('.'));
}

/** Takes in what callers and backend servers see, and notes each promise that is broken. */
export class PromiseBook {
  readonly broken: string[] = [];

  private readonly jobs = new Map<string, SoakJob>();

  /** Servers on which a task runs now. */
  private readonly running = new Map<string, Set<number>>();

  /** Ends `done` by task. */
  private readonly doneEnds = new Map<string, DoneEnd[]>();

  /** Tasks that run on a server now. */
  private readonly busy = new Map<number, Set<string>>();

  private startCount = 0;

  /**
   * @param room - tasks that a server holds at the same time
   * @param now - monotonic time in milliseconds
   */
  constructor(
    private readonly room: number,
    private readonly now: () => number = () => performance.now(),
  ) {}

  /** Starts of tasks so far. */
  get starts(): number {
    return this.startCount;
  }

  /** Observes one backend server. */
  observeServer(server: number): RunObserver {
    return {
      recordStart: (task) => this.recordStart(server, task),
      recordEnd: (task, how) => this.recordEnd(server, task, how),
    };
  }

  /** Notes that a job is handed in for the first time. */
  addJob(id: string, taskCount: number): void {
    this.jobs.set(id, { taskCount, tries: [], done: new Set(), cancelledAtMs: undefined });
  }

  /** Notes that the cancellation of a job was acknowledged. */
  recordCancel(id: string): void {
    this.jobs.get(id)!.cancelledAtMs ??= this.now();
  }

  /** Notes a try; returns a function that settles it. */
  openTry(id: string): (outcome: CallerOutcome) => void {
    const { tries } = this.jobs.get(id)!;
    const index = tries.push('open') - 1;
    return (outcome) => {
      tries[index] = outcome;
      if (outcome === 'completed') {
        this.checkWhole(id);
      }
    };
  }

  private recordStart(server: number, task: string): void {
    this.startCount += 1;
    const places = this.running.get(task) ?? new Set();
    this.running.set(task, places.add(server));
    if (places.size > 1) {
      this.broken.push(`${task} runs on servers ${[...places].join(' and ')} at the same time`);
    }
    const tasks = this.busy.get(server) ?? new Set();
    this.busy.set(server, tasks.add(task));
    if (tasks.size > this.room) {
      this.broken.push(`server ${server} runs ${tasks.size} tasks and has room for ${this.room}`);
    }
    const job = this.jobs.get(findJobId(task));
    this.doneEnds.get(task)?.forEach((end) => {
      // A caller that sends its job again may reach instances that all started after the end.
      if (end.tries === job?.tries.length) {
        this.changeDoneEnd(task, end, { isStartedAfter: true });
      }
    });
    if (job === undefined) {
      this.broken.push(`${task} starts, and nobody has sent its job`);
    } else if (job.tries.length > 0 && job.tries.every((outcome) => outcome === 'refused')) {
      this.broken.push(`${task} starts, and all tries of its job were refused`);
    }
    const sinceCancelMs = this.now() - (job?.cancelledAtMs ?? Infinity);
    if (sinceCancelMs > CANCEL_MS) {
      this.broken.push(
        `${task} starts ${Math.round(sinceCancelMs)} ms after the cancellation of its job was acknowledged`,
      );
    }
  }

  private recordEnd(server: number, task: string, how: string): () => void {
    this.running.get(task)?.delete(server);
    this.busy.get(server)?.delete(task);
    if (how !== 'done') {
      return () => {};
    }
    const job = this.jobs.get(findJobId(task));
    job?.done.add(task);
    const tries = job?.tries.length ?? 0;
    const end: DoneEnd = { server, tries, isAcknowledged: false, isStartedAfter: false };
    this.doneEnds.set(task, [...(this.doneEnds.get(task) ?? []), end]);
    return () => this.changeDoneEnd(task, end, { isAcknowledged: true });
  }

  /** A start after a done run breaks the promise if that end is acknowledged, before the start or later. */
  private changeDoneEnd(task: string, end: DoneEnd, change: Partial<DoneEnd>): void {
    const wasBroken = end.isAcknowledged && end.isStartedAfter;
    Object.assign(end, change);
    if (end.isAcknowledged && end.isStartedAfter && !wasBroken) {
      this.broken.push(
        `${task} starts again after it was done on server ${end.server} and the end acknowledged`,
      );
    }
  }

  private checkWhole(id: string): void {
    const { done, taskCount } = this.jobs.get(id)!;
    if (done.size < taskCount) {
      this.broken.push(
        `${id} is answered as completed with ${done.size} of ${taskCount} tasks done`,
      );
    }
  }
}
