import { z } from 'zod';
import { defineAddresses } from '@guavaspindle/runtime/settings/define-addresses';
import { defineField } from '@guavaspindle/runtime/settings/define-field';
import { defineSection } from '@guavaspindle/runtime/settings/define-section';
import { runBinary } from '@guavaspindle/runtime/process/run-binary';
import { splitAddress } from '@guavaspindle/runtime/control/split-address';
import { PlatformStandIn } from '../platform/platform-stand-in';

const schema = z.strictObject({
  platform: defineSection({
    listen: defineAddresses('One address for each failure domain, in the order of domains.'),
    domains: defineField(
      { form: 'names separated by commas', about: 'The failure domains.' },
      (text) => text.split(',').map((name) => name.trim()),
    ),
  }),
});

runBinary({
  name: 'platform-stand-in',
  about: "Stands in for the platform's store and instance list in development and tests.",
  schema,
  start: async ({ platform }) => {
    const standIn = new PlatformStandIn();
    await Promise.all(
      platform.listen.map((address, index) => {
        const { host, port } = splitAddress(address);
        return standIn.listen(host, port, platform.domains[index] ?? '');
      }),
    );
    process.on('SIGTERM', () => process.exit(0));
  },
});
