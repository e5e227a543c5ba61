import { Agent, request } from 'undici';
import type { Deployment } from '../deployment/deployment';
import type { Arrival } from './arrival';
import type { JobRecord } from './job-record';

const MAX_CONNECTIONS = 512;

/** Where and how jobs are sent. */
interface LoadTarget {
  readonly deployment: Deployment;
  readonly deadlineMs: number;
}

/** Sends one job and waits for its end. */
async function sendJob(
  target: LoadTarget,
  agent: Agent,
  arrival: Arrival,
  place: number,
  startedAt: number,
): Promise<JobRecord> {
  const { deployment, deadlineMs } = target;
  const { instances, options } = deployment;
  const gateway = instances[place % instances.length]!.plan.gatewayHttp;
  const kind = options.kinds[place % options.kinds.length]!;
  const task = { payload: { runMs: arrival.runMs }, expectedMs: arrival.expectedMs };
  const tasks = new Array<typeof task>(arrival.tasks).fill(task);
  let outcome: JobRecord['outcome'];
  let detail = '';
  try {
    const response = await request(`http://${gateway}/v1/jobs`, {
      method: 'POST',
      dispatcher: agent,
      headers: { authorization: `Bearer ${deployment.callerKey}` },
      body: JSON.stringify({ kind, deadlineMs, tasks }),
    });
    const body = (await response.body.json()) as {
      outcome?: JobRecord['outcome'];
      detail?: string;
    };
    outcome = response.statusCode === 200 ? 'complete' : (body.outcome ?? 'unknown');
    detail = body.detail ?? '';
  } catch (error) {
    outcome = 'unknown';
    detail = (error as Error).message;
  }
  const endedAtMs = performance.now() - startedAt;
  return { arrival, outcome, detail, endedAtMs, tookMs: endedAtMs - arrival.atMs };
}

/** Sends all arrivals at their times, in open loop, and waits for the last answer. */
export async function runLoad(
  target: LoadTarget,
  arrivals: readonly Arrival[],
): Promise<JobRecord[]> {
  const agent = new Agent({ connections: MAX_CONNECTIONS });
  const startedAt = performance.now();
  const under: Promise<JobRecord>[] = [];
  for (const [place, arrival] of arrivals.entries()) {
    const waitMs = arrival.atMs - (performance.now() - startedAt);
    if (waitMs > 1) {
      // eslint-disable-next-line no-await-in-loop -- jobs are sent at their planned times
      await new Promise((resolve) => {
        setTimeout(resolve, waitMs);
      });
    }
    under.push(sendJob(target, agent, arrival, place, startedAt));
  }
  const records = await Promise.all(under);
  await agent.close();
  return records;
}
