// Runs the tests, or those that the arguments select as for jest, and passes over exactly the tests
// that KNOWN-RED.txt names.
import { spawnSync } from 'node:child_process';
import { createRequire } from 'node:module';
import { existsSync, mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const KNOWN_RED = 'KNOWN-RED.txt';
const output = join(mkdtempSync(join(tmpdir(), 'guavaspindle-ci-')), 'jest.json');

/** Full names of tests listed as known to fail: the lines that begin with "test: ". */
function readKnownRed() {
  if (!existsSync(KNOWN_RED)) {
    return new Set();
  }
  const lines = readFileSync(KNOWN_RED, 'utf8').split('\n');
  const tests = lines.filter((line) => line.startsWith('test: '));
  return new Set(tests.map((line) => line.slice('test: '.length).trim()));
}

const jest = createRequire(import.meta.url).resolve('jest/bin/jest');
const run = spawnSync(
  process.execPath,
  [jest, ...process.argv.slice(2), '--json', `--outputFile=${output}`],
  { stdio: ['ignore', 'ignore', 'inherit'] },
);
if (!existsSync(output)) {
  process.stderr.write('The tests did not run to an end.\n');
  process.exit(run.status ?? 1);
}
const report = JSON.parse(readFileSync(output, 'utf8'));
const tests = report.testResults.flatMap((file) => file.assertionResults);
const failed = tests.filter((test) => test.status === 'failed').map((test) => test.fullName);
const passed = tests.filter((test) => test.status === 'passed').length;
const known = readKnownRed();
const surprises = failed.filter((name) => !known.has(name));
const broken = report.testResults.filter(
  (file) => file.status === 'failed' && file.assertionResults.length === 0,
);

failed
  .filter((name) => known.has(name))
  .forEach((name) => {
    process.stdout.write(`KNOWN RED: ${name}\n`);
  });
tests
  .filter((test) => test.status === 'passed' && known.has(test.fullName))
  .forEach((test) => {
    process.stdout.write(`KNOWN RED, but passed; take it out of ${KNOWN_RED}: ${test.fullName}\n`);
  });
surprises.forEach((name) => process.stdout.write(`FAILED: ${name}\n`));
broken.forEach((file) => process.stdout.write(`BROKEN: ${file.name}\n${file.message}\n`));
process.stdout.write(`${passed} passed, ${surprises.length + broken.length} failed\n`);
process.exit(surprises.length + broken.length === 0 && passed > 0 ? 0 : 1);
