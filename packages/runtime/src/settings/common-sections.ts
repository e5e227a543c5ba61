import { defineAddress } from './define-address';
import { defineAddresses } from './define-addresses';
import { defineChoice } from './define-choice';
import { defineDuration } from './define-duration';
import { defineInteger } from './define-integer';
import { defineName } from './define-name';
import { defineSection } from './define-section';

/** The settings sections that gateways, dispatchers and agents have in common. */
export const commonSections = {
  process: defineSection({
    domain: defineName('The failure domain that this process runs in.'),
    control: defineAddress('Where this process serves the other processes of the system.'),
    agents: defineAddresses(
      "Control addresses of agents: this instance's own first, then others'.",
    ),
    drainDelay: defineDuration(
      'How long readiness is off before a graceful shutdown refuses connections.',
      '500ms',
    ),
    drainDeadline: defineDuration(
      'How long a graceful shutdown waits for requests in progress.',
      '30s',
    ),
    events: defineInteger('Events kept for the time line.', 100, 1_000_000, '20000'),
  }),
  log: defineSection({
    level: defineChoice('Least level that is logged.', ['debug', 'info', 'warn', 'error'], 'info'),
  }),
  metrics: defineSection({
    statsd: defineAddresses('The StatsD server; empty for no metrics.', ''),
  }),
};
