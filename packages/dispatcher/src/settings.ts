import { z } from 'zod';
import { commonSections } from '@guavaspindle/runtime/settings/common-sections';
import { defineAddress } from '@guavaspindle/runtime/settings/define-address';
import { defineDuration } from '@guavaspindle/runtime/settings/define-duration';
import { defineInteger } from '@guavaspindle/runtime/settings/define-integer';
import { defineName } from '@guavaspindle/runtime/settings/define-name';
import { defineSection } from '@guavaspindle/runtime/settings/define-section';
import { defineSize } from '@guavaspindle/runtime/settings/define-size';
import { defineField } from '@guavaspindle/runtime/settings/define-field';

const MAX_DISPATCHERS = 1_000;
const MAX_BATCHES_PER_SECOND = 1_000;

/** Defines a setting that names a registered plug-in; the composition root checks the name. */
function definePluginName(about: string, fallback: string) {
  return defineField({ form: 'the name of a registered policy', about, fallback }, (text) =>
    text === '' ? undefined : text,
  );
}

/** The settings of a dispatcher. */
export const dispatcherSchema = z.strictObject({
  ...commonSections,
  dispatcher: defineSection({
    index: defineInteger(
      "This dispatcher's place among those of its failure domain, from 0; it sets which part of every limit is its own.",
      0,
      MAX_DISPATCHERS - 1,
    ),
    count: defineInteger(
      'How many dispatchers the failure domain has; the same in all of them.',
      1,
      MAX_DISPATCHERS,
    ),
    answerRetention: defineDuration('How long answers are kept for resubmissions.', '10m'),
    answerMemory: defineSize('Most memory for kept answers.', '64MB'),
    queuePolicy: definePluginName('How waiting tasks are ordered.', 'fair'),
    placementPolicy: definePluginName('How tasks are placed on backend servers.', 'assigned'),
  }),
  platform: defineSection({
    store: defineAddress("The platform's key-value service."),
    adapter: defineName('The store adapter, such as consul.'),
    ledgerBatches: defineInteger(
      'Most batches of idempotency keys written to the store in a second by this dispatcher.',
      1,
      MAX_BATCHES_PER_SECOND,
      '40',
    ),
    keyRetention: defineDuration('How long idempotency keys are remembered.', '24h'),
  }),
});
