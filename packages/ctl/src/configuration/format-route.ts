import type { Route } from '@guavaspindle/platform-adapter/configuration/route';

/** Formats the address of a route; hosts are compared regardless of case. */
export function formatRoute({ host, prefix }: Pick<Route, 'host' | 'prefix'>): string {
  return `${host.toLowerCase()}${prefix}`;
}
