import type { EngineSubmission } from '@guavaspindle/kernel/engine/engine-submission';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { QueueName } from '@guavaspindle/kernel/ids/queue-name';
import type { ServiceName } from '@guavaspindle/kernel/ids/service-name';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { SubmittedJob } from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';
import { decodeCrash } from './decode-crash';

/** Decodes a job that the entry instance `owner`, of the failure domain `callerDomain`, has submitted. */
export function decodeJob(
  job: SubmittedJob,
  owner: InstanceName,
  callerDomain?: DomainName,
): EngineSubmission {
  const { queue } = job;
  return {
    owner,
    callerDomain,
    spec: {
      id: job.id as JobId,
      queue: {
        name: (queue?.name ?? '') as QueueName,
        service: (queue?.service ?? '') as ServiceName,
        priority: queue?.priority ?? 0,
        maxAttempts: queue?.maxAttempts ?? 1,
        stretch: queue?.stretch ?? 1,
        targetMs: queue?.targetMs ?? 0,
      },
      specification: job.specification,
      steps: job.steps.map((step) => ({
        taskCount: step.taskCount,
        demand: { cpuMilli: step.cpuMilli, memoryMb: step.memoryMb, gpus: step.gpus },
        estimatedMs: step.estimatedMs,
        after: step.after,
        requiredLabel: step.requiredLabel,
        preferredRack: step.preferredRack,
        maxPerServer: step.maxPerServer,
      })),
    },
    ageMs: job.ageMs,
    doneTasks: new Set(job.doneTasks as TaskId[]),
    isResumed: job.isResumed,
    isUnstarted: job.isUnstarted,
    priorRunsExpireInMs: job.runsMayLiveMs,
    mayRunOnUnknownServers: job.runsMayHide,
    isMoved: job.isMoved,
    moveCount: job.moveCount === 0 ? undefined : job.moveCount,
    crashes: job.crashes.map(decodeCrash),
  };
}
