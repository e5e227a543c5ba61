import type { RunningInstance } from './running-instance';

/**
 * Builds what ends the process after an unexpected error: its callers are answered first. Another error meanwhile
 * ends it at once.
 *
 * @param findInstance - undefined until the instance has started
 * @param exitProcess - ends the process with an exit code
 */
export function buildFaultHandler(
  findInstance: () => RunningInstance | undefined,
  exitProcess: (code: number) => void,
): (code: number) => void {
  let hasFailed = false;
  return (code) => {
    const instance = findInstance();
    if (hasFailed || instance === undefined) {
      exitProcess(code);
      return;
    }
    hasFailed = true;
    const exit = (): void => exitProcess(code);
    instance.abandonCallers().then(exit, exit);
  };
}
