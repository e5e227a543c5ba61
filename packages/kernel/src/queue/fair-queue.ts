import type { Job } from '../submission/job';
import type { Flow } from './flow';
import { queuePolicies } from './queue-policies';
import type { QueuePolicy } from './queue-policy';

/** Start-time fair queueing over flows; inside a flow, least remaining work first with ageing. */
class FairQueue implements QueuePolicy {
  readonly separatesLongTasks = true;

  /** Virtual time of the flow served last; flows that wake up begin here. */
  private virtualNow = 0;

  // eslint-disable-next-line class-methods-use-this -- part of the policy interface
  computeOrderKey(job: Job): number {
    // Arrival plus work: a job waits behind later ones only while they are shorter by more than
    // the time it has already waited.
    return job.acceptedAtMs + job.waitingWorkMs;
  }

  // eslint-disable-next-line class-methods-use-this -- part of the policy interface
  chooseFlow(flows: readonly Flow[]): Flow {
    return flows.reduce((best, next) => (next.virtualTime < best.virtualTime ? next : best));
  }

  chargeStart(flow: Flow, estimateMs: number): void {
    this.virtualNow = Math.max(this.virtualNow, flow.virtualTime);
    flow.virtualTime += estimateMs / flow.weight;
  }

  // eslint-disable-next-line class-methods-use-this -- part of the policy interface
  correctCharge(flow: Flow, estimateMs: number, ranMs: number): void {
    flow.virtualTime += (ranMs - estimateMs) / flow.weight;
  }

  activateFlow(flow: Flow): void {
    flow.virtualTime = Math.max(flow.virtualTime, this.virtualNow);
  }
}

queuePolicies.registerPlugin('fair', () => new FairQueue());
