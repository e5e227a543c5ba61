import { formatCsv } from '@guavaspindle/ctl/table/format-csv';
import { parseCsv } from '@guavaspindle/ctl/table/parse-csv';
import { rowColumns } from '@guavaspindle/ctl/table/row-columns';

const line = 'r1,costura,label-check,*,2,10,100.5,1000,5000';
const header = rowColumns.join(',');

describe('parseCsv', () => {
  it('reads what formatCsv writes', () => {
    const text = formatCsv([rowColumns, line.split(',')]);
    expect(parseCsv(text)._unsafeUnwrap()).toEqual([
      {
        rowId: 'r1',
        caller: 'costura',
        kind: 'label-check',
        domain: '*',
        weight: 2,
        maxRunning: 10,
        startsPerSecond: 100.5,
        maxQueued: 1000,
        deadlineMs: 5000,
      },
    ]);
  });

  it.each([
    ['no header', line, 'line 1'],
    ['an empty file', '', 'line 1'],
    ['a missing cell', `${header}\nr1,costura,label-check,*,2,10,100,1000`, 'line 2: has 8'],
    ['a word for a number', `${header}\n${line.replace('1000', 'many')}`, 'line 2, maxQueued'],
    ['an empty cell', `${header}\n${line.replace('costura', '')}`, 'line 2, caller'],
  ])('names the place of the fault: %s', (_name, text, place) => {
    expect(parseCsv(text)._unsafeUnwrapErr()).toContain(place);
  });
});
