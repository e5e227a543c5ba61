import { toBinary } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { defaultJobLimits } from '@guavaspindle/kernel/engine/default-job-limits';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { QueueSettings } from '@guavaspindle/kernel/engine/queue-settings';
import { parseJob } from '@guavaspindle/platform-adapter/callers/parse-job';
import { parseConfiguration } from '@guavaspindle/platform-adapter/configuration/parse-configuration';
import { SubmittedJobSchema } from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';
import { encodeJob } from '../src/links/encode-job';
import { buildJobSubmission } from './fixtures/build-job-submission';

const SEED = 20_261_205;
const RUNS = 2_000;
const ID = '00000000000000aa' as JobId;
const STEP = { count: 2, cpu: 1_000, memMb: 64, estimatedMs: 40 };

/** Builds the text of a job with one step; values of numbers are pieces of JSON text. */
function buildJobText(step: Readonly<Record<string, string>>): string {
  const fields = { ...STEP, ...step };
  const text = Object.entries(fields).map(([name, value]) => `"${name}":${value}`);
  return `{"specification":"x","bestEffort":true,"steps":[{${text.join(',')}}]}`;
}

/** Parses a job and encodes it as for the link to the leader; returns whether it was accepted. */
function encodeAccepted(text: string, queue: QueueSettings): boolean {
  const spec = parseJob(text, ID, queue, defaultJobLimits.maxJobItems);
  if (spec.isOk()) {
    toBinary(SubmittedJobSchema, encodeJob({ ...buildJobSubmission(), spec: spec.value }));
  }
  return spec.isOk();
}

describe('a job with odd numbers', () => {
  const { queue } = buildJobSubmission().spec;

  // Guards against a job that the link to the leader cannot carry: the link and all its jobs would fail.
  it.each([
    ['a fractional amount', 'cpu', '500.5', true],
    ['an amount above 32 bits', 'cpu', '5e9', false],
    ['an absurd amount', 'memMb', '1e300', false],
    ['an infinite amount', 'gpu', '1e999', false],
    ['a limit per server above 32 bits', 'maxPerServer', '5000000000', true],
    ['an absurd limit per server', 'maxPerServer', '1e300', false],
    ['an absurd estimate', 'estimatedMs', '1e300', true],
    ['an absurd count', 'count', '1e300', false],
  ])('is refused or can be sent to the leader: %s', (_name, field, json, isAccepted) => {
    expect(encodeAccepted(buildJobText({ [field]: json }), queue)).toBe(isAccepted);
  });

  it('is refused or can be sent to the leader, whatever its numbers', () => {
    const number = fc.oneof(
      fc.integer(),
      fc.double(),
      fc.constantFrom('1e999', '-1e999', '1e300', '4294967296', '0.1'),
    );
    const field = fc.constantFrom(...Object.keys(STEP), 'gpu', 'maxPerServer', 'after');
    fc.assert(
      fc.property(fc.dictionary(field, number.map(String)), (step) => {
        encodeAccepted(buildJobText(step), queue);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it.each([['2.5'], ['1e10'], ['-1']])(
    'can be sent to the leader when the configuration says %s for counts',
    (json) => {
      const configuration = parseConfiguration(
        `{"version":1,"routes":[{"name":"q","host":"h","prefix":"/q/","service":"s","priority":${json},"maxAttempts":${json}}]}`,
      );
      const route = configuration.isOk() ? configuration.value.routes[0] : undefined;
      expect(encodeAccepted(buildJobText({}), route!.queue)).toBe(true);
    },
  );
});
