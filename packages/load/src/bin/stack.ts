import { renameSync, writeFileSync } from 'node:fs';
import { Cli, Command, Option } from 'clipanion';
import { Deployment } from '../deployment/deployment';
import { todaysDeployment } from '../deployment/todays-deployment';

/** Describes a running deployment for scripts that drive it. */
function describeDeployment(deployment: Deployment) {
  const { instances, plan, backends } = deployment;
  return {
    gateways: instances.map(({ plan: { gatewayHttp, domain }, gateway }) => ({
      url: `http://${gatewayHttp}`,
      domain,
      pid: gateway.pid,
    })),
    dispatchers: instances.map(({ plan: { domain }, dispatcher }) => ({
      domain,
      pid: dispatcher.pid,
    })),
    agents: instances.map(({ plan: { agentHttp, domain }, agent }) => ({
      url: `http://${agentHttp}`,
      domain,
      pid: agent.pid,
    })),
    backendServers: [...plan.backends].flatMap(([domain, addresses]) =>
      addresses.map((address) => ({
        url: `http://${address}`,
        domain,
        pid: backends.get(domain)!.pid,
      })),
    ),
    platform: { url: `http://${[...plan.platform.values()][0]}`, pid: deployment.platform.pid },
    callerKey: deployment.callerKey,
    callerName: deployment.callerName,
    kinds: deployment.options.kinds.slice(0, 2),
    operatorKey: deployment.operatorKey,
  };
}

/** Keeps a deployment up until a signal comes. */
class StackCommand extends Command {
  static override usage = Command.Usage({
    description: 'Starts a whole deployment on loopback and keeps it up until SIGTERM.',
    examples: [['Start and write the addresses', '$0 --ready-file ready.json']],
  });

  readyFile = Option.String('--ready-file', {
    required: true,
    description: 'Written with addresses, process ids and keys once all is ready.',
  });

  override async execute(): Promise<number> {
    const stopped = new Promise<void>((resolve) => {
      process.once('SIGTERM', () => resolve());
      process.once('SIGINT', () => resolve());
    });
    const deployment = await Deployment.start(todaysDeployment);
    // Renamed into place, so that a reader never sees half a file.
    const partial = `${this.readyFile}.partial`;
    writeFileSync(partial, JSON.stringify(describeDeployment(deployment), null, 2));
    renameSync(partial, this.readyFile);
    await stopped;
    await deployment.stop();
    return 0;
  }
}

const cli = new Cli({ binaryName: 'npm run --silent stack --' });
cli.register(StackCommand);
cli.runExit(process.argv.slice(2)).catch(() => process.exit(1));
