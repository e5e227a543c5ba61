import type { Job } from '../submission/job';
import type { Flow } from './flow';
import { queuePolicies } from './queue-policies';
import type { QueuePolicy } from './queue-policy';

/** Start-time fair queueing across flows; within a flow, least remaining work first with ageing. */
class FairQueue implements QueuePolicy {
  readonly separatesLongTasks = true;

  /** Highest virtual time of a served flow; flows that become active start no earlier. */
  private virtualNow = 0;

  // eslint-disable-next-line class-methods-use-this -- required by the QueuePolicy interface
  computeOrderKey(job: Job): number {
    // The key is arrival time plus work, so a later job overtakes an earlier one only if it is
    // shorter by more than the time between their arrivals.
    return job.acceptedAtMs + job.waitingWorkMs;
  }

  // eslint-disable-next-line class-methods-use-this -- required by the QueuePolicy interface
  chooseFlow(flows: readonly Flow[]): Flow {
    return flows.reduce((best, next) => (next.virtualTime < best.virtualTime ? next : best));
  }

  chargeStart(flow: Flow, estimateMs: number): void {
    this.virtualNow = Math.max(this.virtualNow, flow.virtualTime);
    flow.virtualTime += estimateMs / flow.weight;
  }

  // eslint-disable-next-line class-methods-use-this -- required by the QueuePolicy interface
  correctCharge(flow: Flow, estimateMs: number, ranMs: number): void {
    flow.virtualTime += (ranMs - estimateMs) / flow.weight;
  }

  activateFlow(flow: Flow): void {
    flow.virtualTime = Math.max(flow.virtualTime, this.virtualNow);
  }
}

queuePolicies.registerPlugin('fair', () => new FairQueue());
