import type { EngineJob } from './engine-job';

/** Computes the CPU capacity that the remaining tasks of a job need, in thousandths of a core. */
export function computeRemainingCpuMilli({ spec, remainingByStep }: EngineJob): number {
  return spec.steps.reduce(
    (sum, { demand }, index) => sum + demand.cpuMilli * remainingByStep[index]!,
    0,
  );
}
