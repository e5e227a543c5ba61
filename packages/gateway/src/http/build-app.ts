import { createHash } from 'node:crypto';
import { buildProblem } from '@guavaspindle/kernel/dispatch/build-problem';
import type { EventRingBuffer } from '@guavaspindle/kernel/events/event-ring-buffer';
import type { CallerName } from '@guavaspindle/kernel/ids/caller-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { KindName } from '@guavaspindle/kernel/ids/kind-name';
import type { Problem } from '@guavaspindle/kernel/outcome/problem';
import { buildProblemResponse } from '@guavaspindle/runtime/http/build-problem-response';
import type { KeyRing } from '@guavaspindle/runtime/http/key-ring';
import type Logger from 'bunyan';
import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import { checkBody } from '../checks/check-body';
import { checkIdempotencyKey } from '../checks/check-idempotency-key';
import { jobBodySchema } from '../checks/job-body-schema';
import { requestBodySchema } from '../checks/request-body-schema';
import { ticketsBodySchema } from '../checks/tickets-body-schema';
import type { Submission } from '../routing/submission';
import type { SubmissionRouter } from '../routing/submission-router';
import { buildJobStateResponse } from './build-job-state-response';
import { buildSubmitResponse } from './build-submit-response';
import { decodeProblem } from './decode-problem';

/** Dependencies of the HTTP interface. */
interface AppDependencies {
  readonly router: SubmissionRouter;
  readonly keys: KeyRing;
  readonly ring: EventRingBuffer;
  readonly log: Logger;
  readonly maxBodyBytes: number;
  readonly isReady: () => boolean;
  /** Number of dispatchers in the failure domain that this gateway knows to accept work. */
  readonly countDispatchers: () => number;
}

/** Each authenticated request carries the name of its caller. */
interface AppEnv {
  Variables: { caller: CallerName };
}

/** Computes the digest that detects a resubmission with a different body. */
function computeBodyHash(fields: unknown): string {
  return createHash('sha256').update(JSON.stringify(fields)).digest('hex');
}

/** Parses the body of `POST /v1/jobs`. Returns a problem if the body or the key is invalid. */
function parseJob(
  text: string,
  caller: CallerName,
  keyHeader: string | undefined,
  wait: boolean,
): Submission | Problem {
  const checked = checkBody(jobBodySchema, text);
  if (checked.isErr()) {
    return checked.error;
  }
  const key = checkIdempotencyKey(keyHeader);
  if (key.isErr()) {
    return key.error;
  }
  const { kind, ticket, domain, deadlineMs, tasks } = checked.value;
  if (ticket !== undefined && key.value !== '') {
    const detail = 'Send a ticket or an Idempotency-Key, not both.';
    return buildProblem('bad-request', 'not-run', detail);
  }
  const identity = ((): Submission['identity'] => {
    if (ticket !== undefined) {
      return { type: 'ticket', ticket };
    }
    return key.value === '' ? { type: 'none' } : { type: 'key', key: key.value };
  })();
  return {
    identity,
    caller,
    kind: kind as KindName,
    domain,
    bodyHash: computeBodyHash([kind, domain, tasks]),
    deadlineMs,
    idempotent: false,
    wait,
    tasks: tasks.map(({ payload, expectedMs, demand }) => ({
      payloadJson: JSON.stringify(payload),
      ...(expectedMs === undefined ? {} : { expectedMs }),
      ...(demand === undefined ? {} : { demand }),
    })),
  };
}

/**
 * Parses the body of `POST /v1/requests` into a submission of one task. Returns a problem if the
 * body is invalid.
 */
function parseRequest(text: string, caller: CallerName): Submission | Problem {
  const checked = checkBody(requestBodySchema, text);
  if (checked.isErr()) {
    return checked.error;
  }
  const { kind, payload, nonIdempotent, deadlineMs } = checked.value;
  return {
    identity: { type: 'none' },
    caller,
    kind: kind as KindName,
    domain: undefined,
    bodyHash: computeBodyHash([kind, payload]),
    deadlineMs,
    idempotent: !nonIdempotent,
    wait: true,
    tasks: [{ payloadJson: JSON.stringify(payload) }],
  };
}

/** Builds the HTTP interface for callers. */
export function buildApp(dependencies: AppDependencies): Hono<AppEnv> {
  const { router, keys, ring, log } = dependencies;
  const app = new Hono<AppEnv>();

  app.get('/healthz', (context) => context.json({ status: 'ok' }));
  app.get('/readyz', (context) =>
    dependencies.isReady()
      ? context.json({ status: 'ready', dispatchers: dependencies.countDispatchers() })
      : buildProblemResponse(buildProblem('not-ready', 'not-run', 'Not ready, or draining.')),
  );

  app.use('/v1/*', async (context, next) => {
    const name = keys.findName(context.req.header('authorization'));
    if (name === undefined) {
      const detail = 'Send Authorization: Bearer with a known key.';
      return buildProblemResponse(buildProblem('unauthenticated', 'not-run', detail));
    }
    context.set('caller', name as CallerName);
    return next();
  });
  app.use(
    '/v1/*',
    bodyLimit({
      maxSize: dependencies.maxBodyBytes,
      onError: () => {
        const detail = `The body is larger than ${dependencies.maxBodyBytes} bytes; split the job.`;
        const response = buildProblemResponse(buildProblem('too-large', 'not-run', detail));
        // The rest of the body is left unread, so the connection cannot be reused for another request.
        response.headers.set('connection', 'close');
        return response;
      },
    }),
  );

  app.post('/v1/tickets', async (context) => {
    const checked = checkBody(ticketsBodySchema, await context.req.text());
    if (checked.isErr()) {
      return buildProblemResponse(checked.error);
    }
    const minted = await router.mintTickets(context.get('caller'), checked.value.count);
    return minted.match(
      (tickets) => context.json({ tickets }, 201),
      (problem) => buildProblemResponse(problem),
    );
  });

  app.post('/v1/jobs', async (context) => {
    const wait = context.req.query('wait') !== 'false';
    const key = context.req.header('idempotency-key');
    const submission = parseJob(await context.req.text(), context.get('caller'), key, wait);
    if ('code' in submission) {
      return buildProblemResponse(submission);
    }
    const { identity } = submission;
    if (identity.type === 'ticket') {
      ring.recordEvent({
        type: 'submission-received',
        jobId: identity.ticket as JobId,
        detail: { caller: submission.caller, tasks: submission.tasks.length },
      });
    }
    const reply = await router.submitJob(submission);
    return reply.match(
      (value) => {
        ring.recordEvent({
          type: 'submission-relayed',
          jobId: value.jobId as JobId,
          detail: { result: value.result.case ?? 'none' },
        });
        return buildSubmitResponse(value);
      },
      (problem) => {
        ring.recordEvent({
          type: 'submission-refused',
          ...(identity.type === 'ticket' ? { jobId: identity.ticket as JobId } : {}),
          detail: { code: problem.code, outcome: problem.outcome },
        });
        return buildProblemResponse(problem);
      },
    );
  });

  app.get('/v1/jobs/:id', async (context) => {
    const reply = await router.getJob(context.req.param('id'), context.get('caller'));
    return reply.match(buildJobStateResponse, buildProblemResponse);
  });

  app.delete('/v1/jobs/:id', async (context) => {
    const id = context.req.param('id');
    const reply = await router.cancelJob(id, context.get('caller'));
    return reply.match(({ result }) => {
      if (result.case === 'cancelled') {
        return context.json({ id, started: result.value.started }, 202);
      }
      return result.case === 'problem'
        ? buildProblemResponse(decodeProblem(result.value))
        : buildProblemResponse(buildProblem('internal', 'unknown', 'The owner gave no answer.'));
    }, buildProblemResponse);
  });

  app.post('/v1/requests', async (context) => {
    const submission = parseRequest(await context.req.text(), context.get('caller'));
    if ('code' in submission) {
      return buildProblemResponse(submission);
    }
    const reply = await router.submitJob(submission);
    return reply.match((value) => {
      if (value.result.case !== 'complete') {
        return buildSubmitResponse(value);
      }
      const [answer] = value.result.value.answersJson;
      const id = JSON.stringify(value.jobId);
      return new Response(`{"id":${id},"answer":${answer}}`, {
        headers: { 'content-type': 'application/json' },
      });
    }, buildProblemResponse);
  });

  app.notFound(() => {
    const detail = 'No such path; docs list the calls.';
    return buildProblemResponse(buildProblem('unknown-job', 'not-run', detail));
  });
  app.onError((error) => {
    log.error(
      { err: error },
      'HTTP request failed; answering with an internal problem of unknown outcome',
    );
    // The handler may have failed after a task started, so the outcome is unknown.
    return buildProblemResponse(buildProblem('internal', 'unknown', 'The gateway failed.'));
  });
  return app;
}
