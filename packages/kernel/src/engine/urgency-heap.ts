import type { RankedJob } from './ranked-job';
import { compareUrgency } from './compare-urgency';

/**
 * Returns jobs in the order of starts, equal ones in the order in which they were added. Most scheduling
 * passes start few of the waiting jobs, so that sorting all of them would be wasted.
 */
export class UrgencyHeap implements Iterable<RankedJob> {
  /** Indexes into `jobs`, as a binary heap. */
  private readonly heap: number[];

  constructor(private readonly jobs: readonly RankedJob[]) {
    this.heap = jobs.map((_job, index) => index);
    for (let position = Math.floor(jobs.length / 2) - 1; position >= 0; position -= 1) {
      this.moveDown(position);
    }
  }

  *[Symbol.iterator](): Generator<RankedJob> {
    while (this.heap.length > 0) {
      const first = this.heap[0]!;
      const last = this.heap.pop()!;
      if (this.heap.length > 0) {
        this.heap[0] = last;
        this.moveDown(0);
      }
      yield this.jobs[first]!;
    }
  }

  private moveDown(start: number): void {
    let position = start;
    for (;;) {
      let lowest = position;
      for (let child = 2 * position + 1; child <= 2 * position + 2; child += 1) {
        if (child < this.heap.length && this.isBefore(child, lowest)) {
          lowest = child;
        }
      }
      if (lowest === position) {
        return;
      }
      const moved = this.heap[position]!;
      this.heap[position] = this.heap[lowest]!;
      this.heap[lowest] = moved;
      position = lowest;
    }
  }

  private isBefore(a: number, b: number): boolean {
    const indexA = this.heap[a]!;
    const indexB = this.heap[b]!;
    const order = compareUrgency(this.jobs[indexA]!.urgency, this.jobs[indexB]!.urgency);
    return order < 0 || (order === 0 && indexA < indexB);
  }
}
