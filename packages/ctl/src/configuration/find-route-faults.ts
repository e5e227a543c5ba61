import { findRoute } from '@guavaspindle/platform-adapter/configuration/find-route';
import type { Configuration } from '@guavaspindle/platform-adapter/configuration/configuration';
import type { Route } from '@guavaspindle/platform-adapter/configuration/route';
import type { ConfigurationFinding } from './configuration-finding';
import { formatRoute } from './format-route';

/** Characters that no host name in a request has once its port is cut off. */
const NOT_IN_HOST = /[\s:/?#@]/u;
/** Characters that the path of a request never has as such. */
const NOT_IN_PATH = /[\s?#]/u;

/** Returns why no request for a job can match a route, or undefined if requests can. */
function checkMatch(route: Route, configuration: Configuration): string | undefined {
  const { host, prefix } = route;
  if (host === '') {
    return 'can never match: the host is empty';
  }
  if (NOT_IN_HOST.test(host)) {
    return 'can never match: the host is to be a name without port, path or white space';
  }
  if (prefix === '') {
    return 'serves no job: the prefix is empty, and the "/" of each path is no part of a job id';
  }
  if (!prefix.startsWith('/')) {
    return 'can never match: the prefix does not begin with "/"';
  }
  if (NOT_IN_PATH.test(prefix)) {
    return 'can never match: the prefix has a character that paths do not have';
  }
  const found = findRoute(configuration, host, prefix);
  return found === route
    ? undefined
    : `can never match: route ${configuration.routes.indexOf(found!)} has the same host and prefix`;
}

/** Lists what is wrong with the times and limits of one route. */
function listLimitFaults({ queue, timeoutMs }: Route): Omit<ConfigurationFinding, 'subject'>[] {
  const { stretch, targetMs, maxAttempts } = queue;
  const faults: Omit<ConfigurationFinding, 'subject'>[] = [];
  const add = (severity: 'error' | 'warning', message: string) =>
    faults.push({ severity, message });
  if (timeoutMs <= 0) {
    add('error', `timeout of ${timeoutMs} ms: every request ends at once`);
  } else if (timeoutMs < targetMs) {
    add(
      'warning',
      `timeout of ${timeoutMs} ms is shorter than the target duration of ${targetMs} ms: requests end ` +
        'before their jobs are late',
    );
  }
  if (stretch < 0 || targetMs < 0) {
    add('error', `stretch ${stretch} and target duration ${targetMs} ms must not be negative`);
  } else if (stretch === 0 && targetMs === 0) {
    add('error', 'stretch and target duration are both 0: every job is late from the start');
  } else if (stretch < 1 && targetMs === 0) {
    add(
      'warning',
      `stretch ${stretch} without a target duration: no job can end within its objective`,
    );
  }
  if (maxAttempts === 0) {
    add('warning', 'no attempts are allowed; the first failure of a task fails its job, as with 1');
  }
  return faults;
}

/** Finds what is wrong with each route by itself, and routes that no request can match. */
export function findRouteFaults(configuration: Configuration): ConfigurationFinding[] {
  return configuration.routes.flatMap((route, index) => {
    const subject = `route ${index} (${formatRoute(route)})`;
    const findings: ConfigurationFinding[] = [];
    const unmatched = checkMatch(route, configuration);
    if (unmatched !== undefined) {
      findings.push({ severity: 'error', subject, message: unmatched });
    }
    if (unmatched === undefined && !route.prefix.endsWith('/')) {
      const message = 'the prefix does not end with "/"; the id of a job follows it directly';
      findings.push({ severity: 'warning', subject, message });
    }
    if (route.queue.service === '') {
      const message = 'the service is empty: no server runs its tasks';
      findings.push({ severity: 'error', subject, message });
    }
    if (route.queue.name === '') {
      findings.push({ severity: 'warning', subject, message: 'the queue has no name' });
    }
    return [...findings, ...listLimitFaults(route).map((fault) => ({ ...fault, subject }))];
  });
}
