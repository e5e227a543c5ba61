import { request } from 'undici';
import type { DeployedInstance } from '../deployment/deployed-instance';
import { Deployment } from '../deployment/deployment';
import { todaysDeployment } from '../deployment/todays-deployment';

/** A job of the demo, shaped like one of the two users' own. */
interface DemoJob {
  readonly title: string;
  readonly kind: string;
  readonly tasks: readonly { readonly payload: { runMs: number; echo: string } }[];
}

const LINE_LENGTH = 72;

/** Prints a line. */
function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Builds tasks whose run times follow a fixed pattern: most short, a few long. */
function buildTasks(count: number, name: string): DemoJob['tasks'] {
  return Array.from({ length: count }, (_unused, index) => ({
    payload: { runMs: index % 25 === 24 ? 1_000 : 50 + (index % 5) * 20, echo: `${name}-${index}` },
  }));
}

/** Computes the time that the job would take on its failure domain's slots with no other work. */
function computeIdealMs(job: DemoJob, slots: number): number {
  const totalMs = job.tasks.reduce((sum, task) => sum + task.payload.runMs, 0);
  const longestMs = Math.max(...job.tasks.map((task) => task.payload.runMs));
  return Math.max(longestMs, totalMs / slots);
}

/** Sends a job with a ticket through a gateway. */
async function submitJob(
  deployment: Deployment,
  instance: DeployedInstance,
  job: DemoJob,
  ticket: string,
): Promise<string> {
  const startedAt = performance.now();
  try {
    const response = await request(`http://${instance.plan.gatewayHttp}/v1/jobs`, {
      method: 'POST',
      headers: { authorization: `Bearer ${deployment.callerKey}` },
      body: JSON.stringify({ kind: job.kind, ticket, tasks: job.tasks }),
    });
    const body = (await response.body.json()) as { answers?: unknown[]; outcome?: string };
    const tookMs = Math.round(performance.now() - startedAt);
    return response.statusCode === 200
      ? `complete: ${body.answers!.length} answers in ${tookMs} ms`
      : `status ${response.statusCode}, outcome ${body.outcome} after ${tookMs} ms`;
  } catch (error) {
    return `no answer (${(error as NodeJS.ErrnoException).code}): the gateway was killed`;
  }
}

/** Asks a gateway for a ticket. */
async function getTicket(deployment: Deployment, instance: DeployedInstance): Promise<string> {
  const response = await request(`http://${instance.plan.gatewayHttp}/v1/tickets`, {
    method: 'POST',
    headers: { authorization: `Bearer ${deployment.callerKey}` },
    body: JSON.stringify({ count: 1 }),
  });
  const { tickets } = (await response.body.json()) as { tickets: string[] };
  return tickets[0]!;
}

/** Counts how often each task really started, as the backend servers tell. */
async function countStarts(deployment: Deployment): Promise<{ starts: number; repeated: number }> {
  const addresses = [...deployment.plan.backends.values()].flat();
  const lists = await Promise.all(
    addresses.map(async (address) => {
      const response = await request(`http://${address}/stand-in/starts`);
      return (await response.body.json()) as { task: string }[];
    }),
  );
  const tasks = lists.flat().map((start) => start.task);
  return { starts: tasks.length, repeated: tasks.length - new Set(tasks).size };
}

/** Runs one job; the gateway that took it may be killed in the middle. */
async function runDemoJob(deployment: Deployment, job: DemoJob, killsGateway: boolean) {
  const [first, second] = deployment.instances as [DeployedInstance, DeployedInstance];
  const { serversPerDomain, slotsPerServer } = deployment.options;
  print('-'.repeat(LINE_LENGTH));
  print(`${job.title}: ${job.tasks.length} tasks of kind ${job.kind}`);
  print(`  ideal: ${Math.round(computeIdealMs(job, serversPerDomain * slotsPerServer))} ms`);
  const ticket = await getTicket(deployment, second);
  const submitted = submitJob(deployment, first, job, ticket);
  if (killsGateway) {
    setTimeout(() => first.gateway.sendSignal('SIGKILL'), 200);
  }
  print(`  first submission:  ${await submitted}`);
  if (killsGateway) {
    print(`  same ticket again: ${await submitJob(deployment, second, job, ticket)}`);
  }
}

/** Shows a whole deployment at work: two jobs, with a kill in the middle of the second. */
async function runDemo(): Promise<void> {
  print('Starting three failure domains with two entry instances each ...');
  const deployment = await Deployment.start(todaysDeployment);
  try {
    const costura = {
      title: "Costura's batch",
      kind: 'fabric-allocation',
      tasks: buildTasks(200, 'ward'),
    };
    const amman = { title: "Amman's plan", kind: 'stage-plan', tasks: buildTasks(300, 'chair') };
    await runDemoJob(deployment, costura, false);
    await runDemoJob(deployment, amman, true);
    const { starts, repeated } = await countStarts(deployment);
    print('-'.repeat(LINE_LENGTH));
    print(`Backend servers list ${starts} starts; started more than once: ${repeated}.`);
    process.exitCode = repeated === 0 ? 0 : 1;
  } finally {
    await deployment.stop();
  }
}

runDemo().catch((error: unknown) => {
  process.stderr.write(`The demo failed: ${(error as Error).message}\n`);
  process.exitCode = 1;
});
