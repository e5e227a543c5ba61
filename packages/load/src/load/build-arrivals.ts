import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Arrival } from './arrival';
import type { LoadOptions } from './load-options';

const MS_PER_SECOND = 1_000;
/** Demand swings around its mean by this part, once in each period. */
const WAVE_PART = 0.3;
const WAVE_PERIOD_MS = 4_000;
/** Declared run times are off by up to this factor, up or down. */
const DECLARED_ERROR = 3;

/** Computes the factor on the mean arrival rate at a time: waves, and the crest in the middle. */
function computeRateFactor(options: LoadOptions, atMs: number): number {
  const middleMs = (options.seconds * MS_PER_SECOND) / 2;
  const halfCrestMs = (options.crestSeconds * MS_PER_SECOND) / 2;
  const isCrest = Math.abs(atMs - middleMs) <= halfCrestMs;
  const wave = 1 + WAVE_PART * Math.sin((2 * Math.PI * atMs) / WAVE_PERIOD_MS);
  return isCrest ? options.crest : wave;
}

/** Builds the same arrivals from the same seed: a Poisson process with waves and a crest. */
export function buildArrivals(options: LoadOptions, slots: number): Arrival[] {
  const generator = xoroshiro128plus(options.seed);
  const draw = () => uniformFloat64(generator);
  const { longPart, longFactor, shortMs, tasksPerJob } = options;
  const meanRunMs = shortMs * (1 - longPart + longPart * longFactor);
  const jobsPerMs = (options.utilisation * slots) / (meanRunMs * tasksPerJob);
  const arrivals: Arrival[] = [];
  const endMs = options.seconds * MS_PER_SECOND;
  let atMs = 0;
  while (atMs < endMs) {
    const rate = jobsPerMs * computeRateFactor(options, atMs);
    atMs += -Math.log(1 - draw()) / rate;
    const isLong = draw() < longPart;
    const spread = 0.5 + draw();
    const runMs = Math.round(shortMs * (isLong ? longFactor : 1) * spread);
    const expectedMs = Math.max(1, Math.round(runMs * DECLARED_ERROR ** (2 * draw() - 1)));
    arrivals.push({ atMs, runMs, expectedMs, tasks: tasksPerJob, isLong });
  }
  return arrivals;
}
