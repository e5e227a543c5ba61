import { z } from 'zod';
import { commonSections } from '@guavaspindle/runtime/settings/common-sections';
import { defineAddress } from '@guavaspindle/runtime/settings/define-address';
import { defineKeySection } from '@guavaspindle/runtime/settings/define-key-section';
import { defineSection } from '@guavaspindle/runtime/settings/define-section';
import { defineSize } from '@guavaspindle/runtime/settings/define-size';

/** The settings of a gateway. */
export const gatewaySchema = z.strictObject({
  ...commonSections,
  gateway: defineSection({
    listen: defineAddress('Where callers are served.'),
    maxBody: defineSize('The largest request body taken.', '8MB'),
  }),
  callers: defineKeySection("Each caller's name and the SHA-256 of its key."),
});
