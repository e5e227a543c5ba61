import type { Configuration } from '@guavaspindle/platform-adapter/configuration/configuration';
import type { ConfigurationFinding } from './configuration-finding';
import { findRouteFaults } from './find-route-faults';

/** Finds queues whose routes disagree on their settings; run times are learned by queue name. */
function findQueueConflicts({ routes }: Configuration): ConfigurationFinding[] {
  const firsts = new Map(routes.toReversed().map(({ queue }) => [queue.name, queue]));
  return [...firsts].flatMap(([name, first]) => {
    const queues = routes.map(({ queue }) => queue).filter((queue) => queue.name === name);
    const differing = (Object.keys(first) as (keyof typeof first)[]).filter((key) =>
      queues.some((queue) => queue[key] !== first[key]),
    );
    return differing.length === 0
      ? []
      : [
          {
            severity: 'warning' as const,
            subject: `queue ${name}`,
            message: `its routes contradict each other: ${differing.join(', ')}`,
          },
        ];
  });
}

/** Finds what is wrong, or probably not meant, in a configuration that could be parsed. */
export function findConfigurationFaults(configuration: Configuration): ConfigurationFinding[] {
  const { version, routes, maxBodyBytes } = configuration;
  const findings: ConfigurationFinding[] = [];
  const add = (severity: 'error' | 'warning', message: string) =>
    findings.push({ severity, subject: 'configuration', message });
  if (!Number.isSafeInteger(version) || version < 0) {
    add('warning', `version ${version} is not a whole number of 0 or more`);
  }
  if (routes.length === 0) {
    add('warning', 'there are no routes: every request is refused');
  }
  if (maxBodyBytes <= 0) {
    add('error', `largest body of ${maxBodyBytes} bytes: every job is refused`);
  }
  return [...findings, ...findRouteFaults(configuration), ...findQueueConflicts(configuration)];
}
