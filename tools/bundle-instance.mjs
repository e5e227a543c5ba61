// Bundles the entry instance into one file and stores the compiled code beside it: a process that
// restarts loads both in a fraction of the time.
import { spawnSync } from 'node:child_process';
import { build } from 'esbuild';

/** The code of the process, and the launcher that loads it with its compiled form. */
const BUNDLE = 'target/instance-bundle.js';
const LAUNCHER = 'target/instance.js';
/** The flags of the deploy file: compiled code holds only for the flags that it was made with. */
const NODE_FLAGS = ['--max-old-space-size=200'];

const common = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: false,
  logLevel: 'warning',
};

await build({
  ...common,
  entryPoints: ['packages/instance/src/bin/instance.ts'],
  outfile: BUNDLE,
  // Optional parts of bunyan that are not installed on the platform.
  external: ['dtrace-provider', 'mv', 'safe-json-stringify'],
  alias: {
    '@guavaspindle/kernel': './packages/kernel/src',
    '@guavaspindle/protocol': './packages/protocol/src',
    '@guavaspindle/runtime': './packages/runtime/src',
    '@guavaspindle/platform-adapter': './platform/src',
  },
});
await build({
  ...common,
  entryPoints: ['packages/instance/src/bin/launcher.ts'],
  outfile: LAUNCHER,
});

const rehearsal = spawnSync(process.execPath, [...NODE_FLAGS, LAUNCHER, 'rehearse'], {
  stdio: ['ignore', 'ignore', 'inherit'],
  env: { ...process.env, GUAVASPINDLE_CODE_CACHE: 'write' },
});
if (rehearsal.status !== 0) {
  process.stderr.write('The compiled code was not stored; processes start without it.\n');
}
