import { buildProcessContext } from '@guavaspindle/runtime/process/build-process-context';
import { runBinary } from '@guavaspindle/runtime/process/run-binary';
import { startWithShutdownHandler } from '@guavaspindle/runtime/process/start-with-shutdown-handler';
import { buildDispatcher } from '../build-dispatcher';
import { dispatcherSchema } from '../settings';

runBinary({
  name: 'dispatcher',
  about: 'Owns submissions and starts their tasks on backend servers.',
  schema: dispatcherSchema,
  start: (settings) => {
    const context = buildProcessContext('dispatcher', settings);
    return startWithShutdownHandler(context, settings.process.drainDeadline, (beginShutdown) =>
      buildDispatcher(settings, context, beginShutdown),
    );
  },
});
