// Bundles the entry instance into one file: a process that restarts loads it in a fraction of the time.
import { build } from 'esbuild';

await build({
  entryPoints: ['packages/instance/src/bin/instance.ts'],
  outfile: 'target/instance.js',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: false,
  logLevel: 'warning',
  // Optional parts of bunyan that are not installed on the platform.
  external: ['dtrace-provider', 'mv', 'safe-json-stringify'],
  alias: {
    '@guavaspindle/kernel': './packages/kernel/src',
    '@guavaspindle/protocol': './packages/protocol/src',
    '@guavaspindle/runtime': './packages/runtime/src',
    '@guavaspindle/platform-adapter': './platform/src',
  },
});
