import type { SizeClass } from './size-class';

/** Number of the most recent jobs of a queue from which its size classes are computed. */
const SAMPLE_SIZE = 200;
/** Jobs of a queue that must be known before its size classes are. */
const MIN_SAMPLE = 30;
/** Jobs after which the bounds of the classes are computed again. */
const REFRESH_JOBS = 20;
const LARGEST_SHARE = 0.1;
const NEXT_SHARE = 0.2;

interface QueueSizes {
  readonly sample: number[];
  count: number;
  largestFrom: number;
  nextFrom: number;
}

/** Sorts the jobs of each queue into size classes by their work relative to that of recent jobs. */
export class JobSizes {
  private readonly queues = new Map<string, QueueSizes>();

  /** Records the work of a job that has arrived. */
  recordJob(queue: string, work: number): void {
    const sizes = this.queues.get(queue) ?? {
      sample: [],
      count: 0,
      largestFrom: Infinity,
      nextFrom: Infinity,
    };
    this.queues.set(queue, sizes);
    sizes.sample[sizes.count % SAMPLE_SIZE] = work;
    sizes.count += 1;
    if (sizes.count >= MIN_SAMPLE && sizes.count % REFRESH_JOBS === 0) {
      const sorted = [...sizes.sample].sort((a, b) => b - a);
      sizes.largestFrom = sorted[Math.floor(LARGEST_SHARE * sorted.length)]!;
      sizes.nextFrom = sorted[Math.floor((LARGEST_SHARE + NEXT_SHARE) * sorted.length)]!;
    }
  }

  /** Classifies a job by its work; `rest` until enough jobs of its queue are known. */
  classifyJob(queue: string, work: number): SizeClass {
    const sizes = this.queues.get(queue);
    if (sizes === undefined || work < sizes.nextFrom) {
      return 'rest';
    }
    return work >= sizes.largestFrom ? 'largest' : 'next';
  }
}
