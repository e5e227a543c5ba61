import type { AttemptOutcome } from '@guavaspindle/kernel/outcome/attempt-outcome';
import { systemClock } from '@guavaspindle/kernel/time/system-clock';
import { TaskExecutor } from '@guavaspindle/dispatcher/execution/task-executor';
import { buildStartEffect } from './fixtures/build-start-effect';
import type { Script } from './fixtures/script';
import { ScriptedServer } from './fixtures/scripted-server';

/** Formats a raw HTTP response. */
function formatResponse(status: number, body: string, headers = ''): string {
  const length = Buffer.byteLength(body);
  return `HTTP/1.1 ${status} X\r\ncontent-length: ${length}\r\n${headers}\r\n${body}`;
}

/** Builds a script that responds with a status and a body. */
function buildReplyScript(status: number, buildBody: (attempt: string) => string): Script {
  return (socket, attempt) => socket.write(formatResponse(status, buildBody(attempt)));
}

interface Case {
  readonly name: string;
  readonly script: Script;
  readonly outcome: AttemptOutcome['type'];
}

const cases: readonly Case[] = [
  {
    name: 'a whole answer',
    script: buildReplyScript(200, (attempt) => `{"attempt":"${attempt}","answer":{"echo":1}}`),
    outcome: 'answered',
  },
  {
    name: 'a null answer',
    script: buildReplyScript(200, (attempt) => `{"attempt":"${attempt}","answer":null}`),
    outcome: 'answered',
  },
  {
    name: 'an answer of one megabyte',
    script: buildReplyScript(
      200,
      (attempt) => `{"attempt":"${attempt}","answer":"${'x'.repeat(1_000_000)}"}`,
    ),
    outcome: 'answered',
  },
  {
    name: 'an answer beyond the size limit',
    script: buildReplyScript(
      200,
      (attempt) => `{"attempt":"${attempt}","answer":"${'x'.repeat(5_000_000)}"}`,
    ),
    outcome: 'unknown',
  },
  {
    name: 'an answer to another attempt',
    script: buildReplyScript(200, () => '{"attempt":"job/0/2","answer":1}'),
    outcome: 'unknown',
  },
  {
    name: 'an answer without an attempt',
    script: buildReplyScript(200, () => '{"answer":1}'),
    outcome: 'unknown',
  },
  {
    name: 'an answer without the answer',
    script: buildReplyScript(200, (attempt) => `{"attempt":"${attempt}"}`),
    outcome: 'unknown',
  },
  {
    name: 'an answer that is not JSON',
    script: buildReplyScript(200, () => 'ok'),
    outcome: 'unknown',
  },
  { name: 'an empty answer', script: buildReplyScript(200, () => ''), outcome: 'unknown' },
  {
    name: 'an answer that breaks off',
    script: (socket, attempt) => {
      socket.end(`HTTP/1.1 200 X\r\ncontent-length: 500\r\n\r\n{"attempt":"${attempt}","ans`);
    },
    outcome: 'unknown',
  },
  {
    name: 'an answer that stops and leaves the connection open',
    script: (socket, attempt) => {
      socket.write(`HTTP/1.1 200 X\r\ncontent-length: 500\r\n\r\n{"attempt":"${attempt}","ans`);
    },
    outcome: 'unknown',
  },
  {
    name: 'the same answer twice',
    script: (socket, attempt) => {
      const answer = formatResponse(200, `{"attempt":"${attempt}","answer":1}`);
      socket.write(answer + answer);
    },
    outcome: 'answered',
  },
  {
    name: 'a failure that names the attempt',
    script: buildReplyScript(500, (attempt) => `{"attempt":"${attempt}"}`),
    outcome: 'failed',
  },
  { name: 'a bare failure', script: buildReplyScript(500, () => 'oops'), outcome: 'unknown' },
  {
    name: 'a proved refusal with 429',
    script: buildReplyScript(429, (attempt) => `{"attempt":"${attempt}","notRun":true}`),
    outcome: 'not-run',
  },
  {
    name: 'a proved refusal with 503',
    script: buildReplyScript(503, (attempt) => `{"attempt":"${attempt}","notRun":true}`),
    outcome: 'not-run',
  },
  { name: 'a bare 503', script: buildReplyScript(503, () => ''), outcome: 'unknown' },
  {
    name: 'a 503 that does not say notRun',
    script: buildReplyScript(503, (attempt) => `{"attempt":"${attempt}"}`),
    outcome: 'unknown',
  },
  {
    name: 'a refusal of another attempt',
    script: buildReplyScript(429, () => '{"attempt":"job/0/7","notRun":true}'),
    outcome: 'unknown',
  },
  {
    name: 'a refusal whose notRun is a word',
    script: buildReplyScript(429, (attempt) => `{"attempt":"${attempt}","notRun":"true"}`),
    outcome: 'unknown',
  },
  {
    name: 'a redirect',
    script: buildReplyScript(302, (attempt) => `{"attempt":"${attempt}"}`),
    outcome: 'unknown',
  },
  {
    name: 'a 404 that names the attempt',
    script: buildReplyScript(404, (attempt) => `{"attempt":"${attempt}","notRun":true}`),
    outcome: 'unknown',
  },
  {
    name: 'a connection closed without an answer',
    script: (socket) => socket.end(),
    outcome: 'unknown',
  },
  {
    name: 'a connection reset without an answer',
    script: (socket) => socket.resetAndDestroy(),
    outcome: 'unknown',
  },
  { name: 'no answer at all', script: () => {}, outcome: 'unknown' },
  {
    name: 'bytes that are not HTTP',
    script: (socket) => socket.end('SSH-2.0-x\r\n'),
    outcome: 'unknown',
  },
];

describe('TaskExecutor', () => {
  it.each(cases)('maps $name to $outcome and sends one start', async ({ script, outcome }) => {
    const server = await ScriptedServer.open(script);
    const executor = new TaskExecutor(systemClock, { reportLeaving: () => {} });
    const ended = await executor.runAttempt(buildStartEffect(server.address));
    // Leaves time for any retry that the HTTP client would send on its own.
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    expect({ type: ended.type, starts: server.starts }).toEqual({ type: outcome, starts: 1 });
    executor.close();
    await server.close();
  });

  it('reports a start as not run when the connection is refused', async () => {
    const server = await ScriptedServer.open(() => {});
    await server.close();
    const executor = new TaskExecutor(systemClock, { reportLeaving: () => {} });
    const ended = await executor.runAttempt(buildStartEffect(server.address));
    expect(ended).toMatchObject({ type: 'not-run', cause: 'never-sent' });
    executor.close();
  });

  it('does not resend a start when a reused connection is reset', async () => {
    let served = 0;
    const server = await ScriptedServer.open((socket, attempt) => {
      served += 1;
      if (served === 1) {
        socket.write(formatResponse(200, `{"attempt":"${attempt}","answer":1}`));
      } else {
        socket.resetAndDestroy();
      }
    });
    const executor = new TaskExecutor(systemClock, { reportLeaving: () => {} });
    const first = await executor.runAttempt(buildStartEffect(server.address));
    const second = await executor.runAttempt(buildStartEffect(server.address));
    expect([first.type, second.type, server.starts]).toEqual(['answered', 'unknown', 2]);
    executor.close();
    await server.close();
  });

  it('replaces the connections when one stops responding, and sends no start twice', async () => {
    const silent = new Set<unknown>();
    const server = await ScriptedServer.open((socket, attempt) => {
      if (silent.size === 0) {
        silent.add(socket);
      }
      if (!silent.has(socket)) {
        socket.write(formatResponse(200, `{"attempt":"${attempt}","answer":1}`));
      }
    });
    const executor = new TaskExecutor(systemClock, { reportLeaving: () => {} });
    const lost = await executor.runAttempt(buildStartEffect(server.address, 1_500));
    const next = await executor.runAttempt(buildStartEffect(server.address));
    expect([lost.type, next.type, server.starts]).toEqual(['unknown', 'answered', 2]);
    executor.close();
    await server.close();
  });

  it('never sends a start that timed out as not run while it waited for a connection', async () => {
    const server = await ScriptedServer.open(() => {});
    const executor = new TaskExecutor(systemClock, { reportLeaving: () => {} });
    const occupyingCalls = Array.from({ length: 8 }, () =>
      executor.runAttempt(buildStartEffect(server.address, 700)),
    );
    const waiting = await executor.runAttempt(buildStartEffect(server.address, 50));
    expect(waiting).toMatchObject({ type: 'not-run', cause: 'never-sent' });
    // When the occupying calls time out, their connections close and the queued requests are next.
    const occupyingOutcomes = await Promise.all(occupyingCalls);
    await new Promise((resolve) => {
      setTimeout(resolve, 300);
    });
    expect(occupyingOutcomes.every(({ type }) => type === 'unknown')).toBe(true);
    expect(server.starts).toBe(8);
    executor.close();
    await server.close();
  });

  it('reports that a server is leaving when its response says so', async () => {
    const server = await ScriptedServer.open((socket, attempt) => {
      const body = `{"attempt":"${attempt}","answer":1}`;
      socket.end(formatResponse(200, body, 'X-Leaving: true\r\nConnection: close\r\n'));
    });
    const leaving: string[] = [];
    const executor = new TaskExecutor(systemClock, {
      reportLeaving: ({ address }) => leaving.push(address),
    });
    await executor.runAttempt(buildStartEffect(server.address));
    expect(leaving).toEqual([server.address]);
    executor.close();
    await server.close();
  });
});
