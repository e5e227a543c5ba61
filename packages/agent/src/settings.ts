import { z } from 'zod';
import { commonSections } from '@guavaspindle/runtime/settings/common-sections';
import { defineAddress } from '@guavaspindle/runtime/settings/define-address';
import { defineAddresses } from '@guavaspindle/runtime/settings/define-addresses';
import { defineKeySection } from '@guavaspindle/runtime/settings/define-key-section';
import { defineName } from '@guavaspindle/runtime/settings/define-name';
import { defineSection } from '@guavaspindle/runtime/settings/define-section';

/** The settings of an agent. */
export const agentSchema = z.strictObject({
  ...commonSections,
  agent: defineSection({
    listen: defineAddress('Where operators are served.'),
    peers: defineAddresses("Control addresses of the same failure domain's other agents.", ''),
    remotePeers: defineAddresses("Control addresses of other failure domains' agents.", ''),
  }),
  platform: defineSection({
    store: defineAddress("The platform's key-value service."),
    adapter: defineName('The store adapter, such as consul.'),
    instances: defineAddress("The platform's instance list."),
    source: defineName('The instance list source, such as consul.'),
  }),
  operators: defineKeySection("Each operator's name and the SHA-256 of its key."),
});
