import type { Job } from '../submission/job';
import type { Flow } from './flow';
import { queuePolicies } from './queue-policies';
import type { QueuePolicy } from './queue-policy';
import type { RunClass } from './run-class';

const RUN_CLASSES: readonly RunClass[] = ['short', 'long'];

/** Reads the arrival of a flow's first waiting job; flows given here have one. */
function readFirstArrival(flow: Flow): number {
  const arrivals = RUN_CLASSES.map((runClass) => flow.peekJob(runClass)?.acceptedAtMs ?? Infinity);
  return Math.min(...arrivals);
}

/** Baseline for experiments: strictly first come, first served, over all callers. */
class FifoQueue implements QueuePolicy {
  readonly separatesLongTasks = false;

  // eslint-disable-next-line class-methods-use-this -- part of the policy interface
  computeOrderKey(job: Job): number {
    return job.acceptedAtMs;
  }

  // eslint-disable-next-line class-methods-use-this -- part of the policy interface
  chooseFlow(flows: readonly Flow[]): Flow {
    return flows.reduce((best, next) =>
      readFirstArrival(next) < readFirstArrival(best) ? next : best,
    );
  }

  // eslint-disable-next-line class-methods-use-this -- part of the policy interface
  chargeStart(): void {}

  // eslint-disable-next-line class-methods-use-this -- part of the policy interface
  correctCharge(): void {}

  // eslint-disable-next-line class-methods-use-this -- part of the policy interface
  activateFlow(): void {}
}

queuePolicies.registerPlugin('fifo', () => new FifoQueue());
