import type { LoadReport } from './load-report';

const WIDTH = 720;
const HEIGHT = 320;
const MARGIN = 48;
const COLOURS = ['#1b6ca8', '#c0562b', '#3d7a3d', '#7a4b94'];

/** Builds an SVG of the jobs answered in each second, one line for each policy. */
export function buildPlot(reports: readonly LoadReport[]): string {
  const most = Math.max(1, ...reports.flatMap((report) => report.goodputBySecond));
  const seconds = Math.max(1, ...reports.map((report) => report.goodputBySecond.length - 1));
  const computeX = (second: number) => MARGIN + (second / seconds) * (WIDTH - 2 * MARGIN);
  const computeY = (count: number) => HEIGHT - MARGIN - (count / most) * (HEIGHT - 2 * MARGIN);
  const curves = reports.map(({ goodputBySecond, policy }, place) => {
    const points = goodputBySecond
      .map((count, second) => `${computeX(second).toFixed(1)},${computeY(count).toFixed(1)}`)
      .join(' ');
    const colour = COLOURS[place % COLOURS.length];
    const legendY = MARGIN + place * 18;
    return [
      `<polyline points="${points}" fill="none" stroke="${colour}" stroke-width="2"/>`,
      `<text x="${WIDTH - MARGIN}" y="${legendY}" text-anchor="end" fill="${colour}">${policy}</text>`,
    ].join('\n');
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}" font-family="sans-serif" font-size="13">`,
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
    `<line x1="${MARGIN}" y1="${computeY(0)}" x2="${WIDTH - MARGIN}" y2="${computeY(0)}" stroke="#444"/>`,
    `<line x1="${MARGIN}" y1="${computeY(0)}" x2="${MARGIN}" y2="${computeY(most)}" stroke="#444"/>`,
    `<text x="${MARGIN}" y="${MARGIN - 14}">jobs answered in each second (highest: ${most})</text>`,
    `<text x="${WIDTH / 2}" y="${HEIGHT - 12}" text-anchor="middle">seconds since the start (0 to ${seconds})</text>`,
    ...curves,
    '</svg>',
    '',
  ].join('\n');
}
