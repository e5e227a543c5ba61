import { buildProcessContext } from '@guavaspindle/runtime/process/build-process-context';
import { runBinary } from '@guavaspindle/runtime/process/run-binary';
import { startWithShutdownHandler } from '@guavaspindle/runtime/process/start-with-shutdown-handler';
import { buildGateway } from '../build-gateway';
import { gatewaySchema } from '../settings';

runBinary({
  name: 'gateway',
  about: "Serves callers' HTTP: authenticates, checks, finds the owner and relays.",
  schema: gatewaySchema,
  start: (settings) => {
    const context = buildProcessContext('gateway', settings);
    return startWithShutdownHandler(context, settings.process.drainDeadline, (beginShutdown) =>
      buildGateway(settings, context, beginShutdown),
    );
  },
});
