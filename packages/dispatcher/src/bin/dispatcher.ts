import { buildProcessContext } from '@guavaspindle/runtime/process/build-process-context';
import { runBinary } from '@guavaspindle/runtime/process/run-binary';
import { startGuarded } from '@guavaspindle/runtime/process/start-guarded';
import { buildDispatcher } from '../build-dispatcher';
import { dispatcherSchema } from '../settings';

runBinary({
  name: 'dispatcher',
  about: 'Owns submissions and starts their tasks on backend servers.',
  schema: dispatcherSchema,
  start: (settings) => {
    const context = buildProcessContext('dispatcher', settings);
    return startGuarded(context, settings.process.drainDeadline, (beginShutdown) =>
      buildDispatcher(settings, context, beginShutdown),
    );
  },
});
