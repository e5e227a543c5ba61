import { z } from 'zod';
import { splitAddress } from '@guavaspindle/runtime/control/split-address';
import { runBinary } from '@guavaspindle/runtime/process/run-binary';
import { defineAddresses } from '@guavaspindle/runtime/settings/define-addresses';
import { defineChoice } from '@guavaspindle/runtime/settings/define-choice';
import { defineInteger } from '@guavaspindle/runtime/settings/define-integer';
import { defineSection } from '@guavaspindle/runtime/settings/define-section';
import { BackendStandIn } from '../backend/backend-stand-in';

const MAX_SLOTS = 10_000;

const schema = z.strictObject({
  backend: defineSection({
    listen: defineAddresses('One address for each backend server that this process serves.'),
    slots: defineInteger('Tasks that each server runs at once.', 1, MAX_SLOTS, '8'),
    starts: defineChoice('Whether starts are listed for witnesses.', ['keep', 'drop'], 'keep'),
  }),
});

runBinary({
  name: 'backend-stand-in',
  about: 'Stands in for backend servers in development and tests.',
  schema,
  start: async ({ backend }) => {
    await Promise.all(
      backend.listen.map((address) => {
        const { host, port } = splitAddress(address);
        return new BackendStandIn(backend.slots, backend.starts === 'keep').listen(host, port);
      }),
    );
    process.on('SIGTERM', () => process.exit(0));
  },
});
