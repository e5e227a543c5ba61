import { compareRows } from '@guavaspindle/ctl/table/compare-rows';

/** Builds a row as the administration interface shows it. */
function buildRow(rowId: string, changes: Record<string, string | number> = {}) {
  return {
    rowId,
    caller: 'costura',
    kind: 'label-check',
    domain: '*',
    weight: 1,
    maxRunning: 10,
    startsPerSecond: 100,
    maxQueued: 1_000,
    deadlineMs: 5_000,
    ...changes,
  };
}

describe('compareRows', () => {
  it.each([
    ['nothing', [buildRow('a')], [buildRow('a')], []],
    ['a new row', [], [buildRow('a')], [{ type: 'only-in-file', rowId: 'a' }]],
    ['a row that the file lacks', [buildRow('a')], [], [{ type: 'only-in-table', rowId: 'a' }]],
    [
      'changed cells',
      [buildRow('a'), buildRow('b')],
      [buildRow('b'), buildRow('a', { weight: 2, domain: 'gijon' })],
      [{ type: 'changed', rowId: 'a', cells: ['domain: * -> gijon', 'weight: 1 -> 2'] }],
    ],
  ])('finds %s', (_name, present, wanted, expected) => {
    expect(compareRows(present, wanted)).toEqual(expected);
  });
});
