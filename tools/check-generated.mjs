// Generates the protocol code anew and fails if the committed code differs.
import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';

const FILE = 'packages/protocol/src/gen/guavaspindle/v1/dispatch_pb.ts';
const before = readFileSync(FILE, 'utf8');
const run = spawnSync('npm', ['run', '--silent', 'generate'], { stdio: 'inherit' });
if (run.status !== 0) {
  process.stderr.write('The generator failed.\n');
  process.exit(1);
}
if (readFileSync(FILE, 'utf8') !== before) {
  process.stderr.write('The generated code is out of step; run "npm run generate" and commit.\n');
  process.exit(1);
}
