import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { Script } from 'node:vm';

const BUNDLE_PATH = join(__dirname, 'instance-bundle.js');
const CODE_CACHE_PATH = join(__dirname, 'instance-bundle.cache');
/** If set to `write`, the process stores its compiled code when it exits; the build sets it. */
const CODE_CACHE_VARIABLE = 'GUAVASPINDLE_CODE_CACHE';

/** Modules that the logging library uses for log rotation and tracing: unused here, slow to load. */
const UNUSED_MODULES: ReadonlySet<string> = new Set(['mv', 'dtrace-provider']);

/** The function that wraps the code of a CommonJS module. */
type ModuleFunction = (
  exports: unknown,
  require: (name: string) => unknown,
  module: { exports: unknown },
  filename: string,
  folder: string,
) => void;

/**
 * Loads the instance's code. Compiling it takes longer than the rest of a start, so the build stores
 * the compiled code. The JavaScript engine ignores code that another version or other flags produced.
 */
function loadBundle(): void {
  const isWritingCache = process.env[CODE_CACHE_VARIABLE] === 'write';
  const script = new Script(
    `(function (exports, require, module, __filename, __dirname) {${readFileSync(BUNDLE_PATH, 'utf8')}\n})`,
    {
      filename: BUNDLE_PATH,
      cachedData:
        !isWritingCache && existsSync(CODE_CACHE_PATH) ? readFileSync(CODE_CACHE_PATH) : undefined,
    },
  );
  if (isWritingCache) {
    process.on('exit', () => writeFileSync(CODE_CACHE_PATH, script.createCachedData()));
  }
  const runModule = script.runInThisContext() as ModuleFunction;
  const module = { exports: {} };
  const requireModule = createRequire(BUNDLE_PATH);
  const requireUsed = (name: string): unknown => {
    if (UNUSED_MODULES.has(name)) {
      throw new Error(`module ${name} is not loaded: the instance does not use it`);
    }
    return requireModule(name) as unknown;
  };
  runModule(module.exports, requireUsed, module, BUNDLE_PATH, dirname(BUNDLE_PATH));
}

// The settings are read after the code has been loaded; until then their change must not end the process.
process.on('SIGHUP', () => {});
loadBundle();
