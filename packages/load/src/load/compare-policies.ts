import type { DeploymentOptions } from '../deployment/deployment-options';
import type { LoadOptions } from './load-options';
import type { LoadReport } from './load-report';
import { measurePolicy } from './measure-policy';
import { mergeReports } from './merge-reports';

/**
 * Measures policies in interleaved rounds, each round in the opposite order, so that a machine that
 * becomes slower or faster during the run favours none of them.
 */
export async function comparePolicies(
  policies: readonly string[],
  shape: DeploymentOptions,
  options: LoadOptions,
  rounds: number,
): Promise<LoadReport[]> {
  const reports = new Map<string, LoadReport[]>();
  for (let round = 0; round < rounds; round += 1) {
    const order = round % 2 === 0 ? policies : [...policies].reverse();
    for (const policy of order) {
      // eslint-disable-next-line no-await-in-loop -- policies run one after the other
      const report = await measurePolicy(policy, shape, options);
      reports.set(policy, [...(reports.get(policy) ?? []), report]);
    }
  }
  return policies.map((policy) => {
    const [first, ...others] = reports.get(policy)!;
    return mergeReports([first!, ...others]);
  });
}
