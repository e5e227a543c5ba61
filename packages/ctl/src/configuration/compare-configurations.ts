import type { Configuration } from '@guavaspindle/platform-adapter/configuration/configuration';
import type { ConfigurationDifference } from './configuration-difference';
import { formatRoute } from './format-route';

/** Lists the settings of a configuration by subject. Of routes that are the same, the first applies. */
function listSettings({ version, maxBodyBytes, routes }: Configuration): Map<string, unknown> {
  const settings = new Map<string, unknown>([
    ['version', version],
    ['maxBodyBytes', maxBodyBytes],
  ]);
  routes.toReversed().forEach((route) => {
    const subject = `route ${formatRoute(route)}`;
    settings.set(subject, 'present');
    settings.set(`${subject} timeoutMs`, route.timeoutMs);
    Object.entries(route.queue).forEach(([key, value]) =>
      settings.set(`${subject} queue.${key}`, value),
    );
  });
  return settings;
}

/** Lists what differs from an earlier configuration. Of an added or removed route, only that is listed. */
export function compareConfigurations(
  earlier: Configuration,
  later: Configuration,
): ConfigurationDifference[] {
  const before = listSettings(earlier);
  const after = listSettings(later);
  const subjects = [...new Set([...before.keys(), ...after.keys()])];
  const isOneSided = (subject: string) => before.has(subject) !== after.has(subject);
  const oneSided = subjects.filter(isOneSided);
  return subjects
    .filter((subject) => before.get(subject) !== after.get(subject))
    .filter((subject) => !oneSided.some((route) => subject.startsWith(`${route} `)))
    .map((subject) => ({ subject, before: before.get(subject), after: after.get(subject) }));
}
