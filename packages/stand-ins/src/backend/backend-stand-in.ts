import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { z } from 'zod';
import { readBody } from '../http/read-body';
import { sendJson } from '../http/send-json';
import { StandInServer } from '../http/stand-in-server';
import { backendFaultsSchema } from './backend-faults';
import type { TaskStart } from './task-start';

const MAX_CONNECTIONS = 64;
const USAGE_UPDATE_INTERVAL_MS = 1_000;
/** Bounds memory in long load runs; starts beyond this number are counted but not recorded. */
const MAX_RECORDED_STARTS = 2_000_000;

const runSchema = z.object({
  attempt: z.string(),
  task: z.string(),
  kind: z.string(),
  payload: z.unknown(),
  leaseMs: z.number(),
});

const payloadSchema = z
  .object({
    runMs: z.number().default(0),
    echo: z.unknown().optional(),
    fail: z.boolean().default(false),
  })
  .catch({ runMs: 0, echo: null, fail: false });

/** A task that occupies a slot. */
interface RunningTask {
  end(isStopped: boolean): void;
}

/** Stands in for a backend server: a task occupies a slot for the `runMs` of its payload. */
export class BackendStandIn {
  private readonly server = new StandInServer((request, response) =>
    this.handleRequest(request, response),
  );

  private readonly runningTasks = new Map<string, RunningTask>();

  private readonly starts: TaskStart[] = [];

  private readonly silentSockets = new WeakSet<Socket>();

  private faults = backendFaultsSchema.parse({});

  private reportedRunningCount = 0;

  private refusalCount = 0;

  private startCount = 0;

  private readonly usageTimer: NodeJS.Timeout;

  /**
   * @param slots - maximum number of tasks that run concurrently
   * @param keepStarts - whether starts are recorded; false in load runs that do not check them
   */
  constructor(
    private readonly slots: number,
    private readonly keepStarts = true,
  ) {
    this.usageTimer = setInterval(() => {
      this.reportedRunningCount = this.runningTasks.size;
    }, USAGE_UPDATE_INTERVAL_MS);
    this.usageTimer.unref();
  }

  /** Opens the port and returns its address as host:port. */
  async listen(host: string, port: number): Promise<string> {
    return this.server.listen(host, port);
  }

  /** Sets the faults; faults that are not given are turned off. */
  setFaults(faults: z.input<typeof backendFaultsSchema>): void {
    this.faults = backendFaultsSchema.parse(faults);
    if (this.faults.silent) {
      this.server.sockets.forEach((socket) => this.silentSockets.add(socket));
    }
  }

  /** Lists the recorded task starts. */
  listStarts(): readonly TaskStart[] {
    return this.starts;
  }

  /** Stops all running tasks and closes all connections and the port. */
  async close(): Promise<void> {
    clearInterval(this.usageTimer);
    this.runningTasks.forEach((task) => task.end(true));
    await this.server.close();
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.server.sockets.size > MAX_CONNECTIONS) {
      request.socket.destroy();
      return;
    }
    const text = await readBody(request);
    if (this.silentSockets.has(request.socket)) {
      return;
    }
    const route = `${request.method} ${request.url?.split('?')[0]}`;
    if (route === 'POST /v1/run') {
      this.handleRunRequest(text, response);
    } else if (route === 'GET /v1/usage') {
      sendJson(response, 200, { slots: this.slots, running: this.reportedRunningCount });
    } else if (route.startsWith('POST /v1/attempts/') && route.endsWith('/stop')) {
      this.stopAttempt(route.slice('POST /v1/attempts/'.length, -'/stop'.length), response);
    } else {
      this.handleControlRequest(route, text, response);
    }
  }

  private handleControlRequest(route: string, text: string, response: ServerResponse): void {
    if (route === 'GET /stand-in/starts') {
      sendJson(response, 200, this.starts);
    } else if (route === 'GET /stand-in/counts') {
      sendJson(response, 200, { starts: this.startCount, refusals: this.refusalCount });
    } else if (route === 'POST /stand-in/faults') {
      this.setFaults(JSON.parse(text) as z.input<typeof backendFaultsSchema>);
      sendJson(response, 200, this.faults);
    } else {
      sendJson(response, 404, { error: `no route ${route}` });
    }
  }

  private stopAttempt(encodedAttempt: string, response: ServerResponse): void {
    const task = this.runningTasks.get(decodeURIComponent(encodedAttempt));
    task?.end(true);
    sendJson(response, 202, { stopped: task !== undefined });
  }

  private handleRunRequest(text: string, response: ServerResponse): void {
    const parsed = runSchema.safeParse(JSON.parse(text));
    if (!parsed.success) {
      sendJson(response, 400, { error: parsed.error.message });
      return;
    }
    const { attempt, task, kind, payload } = parsed.data;
    if (this.faults.bareRefusals) {
      response.writeHead(503).end();
      return;
    }
    if (this.runningTasks.size >= this.slots) {
      this.refusalCount += 1;
      sendJson(response, 429, { attempt, notRun: true });
      return;
    }
    this.startCount += 1;
    if (this.keepStarts && this.starts.length < MAX_RECORDED_STARTS) {
      this.starts.push({ task, attempt, kind, startedAtMs: Date.now(), payload });
    }
    this.runInSlot(attempt, payloadSchema.parse(payload), response);
  }

  private runInSlot(
    attempt: string,
    payload: z.infer<typeof payloadSchema>,
    response: ServerResponse,
  ): void {
    const isFailing = this.faults.failAll || payload.fail;
    const runMs = this.faults.failAll ? 0 : payload.runMs + this.faults.stallMs;
    const end = (isStopped: boolean) => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- set before end runs
      clearTimeout(timer);
      this.runningTasks.delete(attempt);
      this.sendTaskResult(attempt, payload.echo ?? null, isFailing || isStopped, response);
    };
    const timer = setTimeout(() => end(false), runMs);
    this.runningTasks.set(attempt, { end });
  }

  private sendTaskResult(
    attempt: string,
    echo: unknown,
    isFailed: boolean,
    response: ServerResponse,
  ): void {
    const { faults } = this;
    const { socket } = response;
    if (socket === null || this.silentSockets.has(socket)) {
      return;
    }
    if (faults.dropAnswers) {
      socket.destroy();
      return;
    }
    const headers: Record<string, string> = faults.leaving
      ? { connection: 'close', 'x-leaving': 'true' }
      : {};
    const reportedAttempt = faults.wrongAttempt ? `${attempt}0` : attempt;
    if (faults.truncate) {
      response.writeHead(200, { 'content-type': 'application/json', 'content-length': '1000' });
      response.write(`{"attempt":"${attempt}","answer":{"ec`, () => socket.destroy());
      return;
    }
    if (isFailed) {
      sendJson(response, 500, { attempt: reportedAttempt, error: 'the task failed' }, headers);
      return;
    }
    sendJson(response, 200, { attempt: reportedAttempt, answer: { echo } }, headers);
  }
}
