import { create } from '@bufbuild/protobuf';
import type { EngineSubmission } from '@guavaspindle/kernel/engine/engine-submission';
import {
  SubmittedJobSchema,
  type SubmittedJob,
} from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';
import { encodeCrash } from './encode-crash';

/** Encodes a job for submission to the leader. */
export function encodeJob(submission: Omit<EngineSubmission, 'owner'>): SubmittedJob {
  const { spec } = submission;
  return create(SubmittedJobSchema, {
    id: spec.id,
    queue: spec.queue,
    specification: spec.specification,
    steps: spec.steps.map((step) => ({
      taskCount: step.taskCount,
      cpuMilli: step.demand.cpuMilli,
      memoryMb: step.demand.memoryMb,
      gpus: step.demand.gpus,
      estimatedMs: step.estimatedMs,
      after: [...step.after],
      requiredLabel: step.requiredLabel,
      preferredRack: step.preferredRack,
      maxPerServer: step.maxPerServer,
    })),
    ageMs: Math.round(submission.ageMs),
    doneTasks: [...submission.doneTasks],
    isResumed: submission.isResumed,
    isUnstarted: submission.isUnstarted,
    runsMayLiveMs: Math.ceil(submission.priorRunsExpireInMs),
    runsMayHide: submission.mayRunOnUnknownServers,
    isMoved: submission.isMoved,
    moveCount: submission.moveCount,
    crashes: submission.crashes.map(encodeCrash),
  });
}
