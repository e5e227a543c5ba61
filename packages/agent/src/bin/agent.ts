import { buildProcessContext } from '@guavaspindle/runtime/process/build-process-context';
import { runBinary } from '@guavaspindle/runtime/process/run-binary';
import { startWithShutdownHandler } from '@guavaspindle/runtime/process/start-with-shutdown-handler';
import { buildAgent } from '../build-agent';
import { agentSchema } from '../settings';

runBinary({
  name: 'agent',
  about: "Carries the operators' table and membership to local processes; serves operators.",
  schema: agentSchema,
  start: (settings) => {
    const context = buildProcessContext('agent', settings);
    return startWithShutdownHandler(context, settings.process.drainDeadline, (beginShutdown) =>
      buildAgent(settings, context, beginShutdown),
    );
  },
});
