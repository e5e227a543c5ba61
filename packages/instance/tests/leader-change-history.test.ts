import { LeaderChangeHistory } from '../src/lead/leader-change-history';
import { linkTiming } from '../src/links/link-timing';

const SILENCE_MS = linkTiming.silenceTimeoutMs;

/** Builds a history of changes at the given times. */
function buildHistory(changesAtMs: readonly number[]): LeaderChangeHistory {
  const history = new LeaderChangeHistory();
  changesAtMs.forEach((atMs, index) => history.recordClaim(index + 1, atMs));
  return history;
}

describe('LeaderChangeHistory', () => {
  // Guards against a series of new leaders that replace each other while each is still taking over.
  it.each([
    ['one change', [0], SILENCE_MS],
    ['two changes within seconds', [0, 700], 2 * SILENCE_MS],
    ['many changes within seconds', [0, 700, 1_400, 2_100, 2_800], 4 * SILENCE_MS],
    ['changes far apart', [-20_000, -10_000, 0], SILENCE_MS],
  ])('tolerates silence after %s', (_name, changesAtMs, expected) => {
    expect(buildHistory(changesAtMs).computeSilenceTimeoutMs(3_000)).toBe(expected);
  });

  it('counts a claim once, however often it is seen', () => {
    const history = buildHistory([0]);
    history.recordClaim(1, 500);
    expect(history.computeSilenceTimeoutMs(600)).toBe(SILENCE_MS);
    expect(history.hasHadTimeToAnswer(SILENCE_MS)).toBe(true);
  });

  it.each([
    ['a leader that has just claimed', [0], SILENCE_MS - 1, false],
    ['a leader of long standing', [0], 60_000, true],
    ['the third leader in a row', [0, 500, 1_000], 1_000 + SILENCE_MS, false],
  ])('judges whether %s has had time to answer', (_name, changesAtMs, nowMs, expected) => {
    expect(buildHistory(changesAtMs).hasHadTimeToAnswer(nowMs)).toBe(expected);
  });
});
