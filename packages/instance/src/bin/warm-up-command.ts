import { createLogger } from 'bunyan';
import { Command } from 'clipanion';
import { systemClock } from '@guavaspindle/kernel/time/system-clock';
import { runWarmUp } from '../process/warm-up';

/** Loopback address of the temporary server that receives the orders. */
const WARM_UP_IP = '127.0.0.1';
/** Enough to compile the code paths of a request. */
const WARM_UP_ITERATIONS = { jobs: 64, orders: 64, calls: 0 };

/** Runs the code paths of a request in memory, so that the build can store the compiled code. */
export class WarmUpCommand extends Command {
  static override paths = [['rehearse']];

  static override usage = Command.Usage({
    description:
      'Run the paths of a request in memory and exit; the build stores what it compiled.',
  });

  // eslint-disable-next-line class-methods-use-this -- clipanion calls the command as a method
  override async execute(): Promise<number> {
    const log = createLogger({ name: 'rehearsal', level: 'warn' });
    await runWarmUp({
      clock: systemClock,
      log,
      ip: WARM_UP_IP,
      iterations: WARM_UP_ITERATIONS,
      isTrafficHere: () => false,
    });
    return 0;
  }
}
