import { computeLine } from '../slopes/compute-line';
import { measureMembers } from '../slopes/measure-members';
import { measureRows } from '../slopes/measure-rows';
import { measureStarts } from '../slopes/measure-starts';
import type { SlopeSeries } from '../slopes/slope-series';

const DIGITS = 4;

/** Formats a series as a row of a Markdown table. */
function formatSeries({ size, figure, points }: SlopeSeries): string {
  const { intercept, slope, maxResidual } = computeLine(points);
  const measured = points.map(([x, y]) => `${x}: ${Number(y.toPrecision(DIGITS))}`).join('; ');
  const line = [intercept, slope, maxResidual].map((value) => value.toPrecision(DIGITS));
  return `| ${figure} | ${size} | ${measured} | ${line.join(' | ')} |`;
}

/** Measures all slopes and prints them as the table of docs/CAPACITY.md. */
async function runSlopes(): Promise<void> {
  const series = [...measureMembers(), ...measureRows(), ...(await measureStarts())];
  const header = [
    '| figure | against | measured | at zero | slope | greatest residual |',
    '|---|---|---|---|---|---|',
  ];
  process.stdout.write(`${[...header, ...series.map(formatSeries)].join('\n')}\n`);
}

runSlopes().catch((error: unknown) => {
  process.stderr.write(`The slopes could not be measured: ${(error as Error).message}\n`);
  process.exitCode = 1;
});
