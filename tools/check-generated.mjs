// Makes all generated files anew and fails if a committed one differs.
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';

const GENERATED = [
  { file: 'packages/protocol/src/gen/guavaspindle/v1/dispatch_pb.ts', script: 'generate' },
  { file: 'docs/SETTINGS.md', script: 'settings-page' },
  {
    file: 'packages/protocol/src/gen/guavaspindle/instance/v1/instance_pb.ts',
    script: 'generate',
  },
];

/** Tells whether running the script leaves the file as it is committed. */
function isInStep({ file, script }) {
  const before = readFileSync(file, 'utf8');
  const run = spawnSync('npm', ['run', '--silent', script], { stdio: 'inherit' });
  return run.status === 0 && readFileSync(file, 'utf8') === before;
}

GENERATED.filter((entry) => !isInStep(entry)).forEach(({ file, script }) => {
  process.stderr.write(`${file} is out of step; run "npm run ${script}" and commit.\n`);
  process.exitCode = 1;
});
