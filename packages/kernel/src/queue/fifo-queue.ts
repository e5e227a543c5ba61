import type { Job } from '../submission/job';
import type { Flow } from './flow';
import { queuePolicies } from './queue-policies';
import type { QueuePolicy } from './queue-policy';
import type { RunClass } from './run-class';

const RUN_CLASSES: readonly RunClass[] = ['short', 'long'];

/** Returns the arrival time of a flow's first waiting job, or Infinity if no job waits. */
function readFirstArrival(flow: Flow): number {
  const arrivals = RUN_CLASSES.map((runClass) => flow.peekJob(runClass)?.acceptedAtMs ?? Infinity);
  return Math.min(...arrivals);
}

/** Strict first come, first served across all flows; the baseline for experiments. */
class FifoQueue implements QueuePolicy {
  readonly separatesLongTasks = false;

  // eslint-disable-next-line class-methods-use-this -- required by the QueuePolicy interface
  computeOrderKey(job: Job): number {
    return job.acceptedAtMs;
  }

  // eslint-disable-next-line class-methods-use-this -- required by the QueuePolicy interface
  chooseFlow(flows: readonly Flow[]): Flow {
    return flows.reduce((best, next) =>
      readFirstArrival(next) < readFirstArrival(best) ? next : best,
    );
  }

  // eslint-disable-next-line class-methods-use-this -- required by the QueuePolicy interface
  chargeStart(): void {}

  // eslint-disable-next-line class-methods-use-this -- required by the QueuePolicy interface
  correctCharge(): void {}

  // eslint-disable-next-line class-methods-use-this -- required by the QueuePolicy interface
  activateFlow(): void {}
}

queuePolicies.registerPlugin('fifo', () => new FifoQueue());
