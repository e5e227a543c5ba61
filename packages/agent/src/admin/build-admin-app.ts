import { randomUUID } from 'node:crypto';
import { buildProblem } from '@guavaspindle/kernel/dispatch/build-problem';
import { tableRowSchema } from '@guavaspindle/kernel/table/table-row-schema';
import { Role } from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import { buildProblemResponse } from '@guavaspindle/runtime/http/build-problem-response';
import type { KeyRing } from '@guavaspindle/runtime/http/key-ring';
import type Logger from 'bunyan';
import { Hono } from 'hono';
import type { Membership } from '../membership/membership';
import type { ServerHolder } from '../membership/server-holder';
import type { EditError } from '../table/edit-error';
import type { EditRequest } from '../table/edit-request';
import type { TableEditor } from '../table/table-editor';
import type { TableHolder } from '../table/table-holder';
import { parseIfMatch } from './parse-if-match';
import type { TimelineCollector } from './timeline-collector';

/** What the administration interface works with. */
interface AdminParts {
  readonly keys: KeyRing;
  readonly editor: TableEditor;
  readonly table: TableHolder;
  readonly membership: Membership;
  readonly servers: ServerHolder;
  readonly timeline: TimelineCollector;
  readonly log: Logger;
  readonly domain: string;
  readonly isReady: () => boolean;
}

/** Requests know their authenticated operator. */
interface AdminEnv {
  Variables: { operator: string };
}

const BAD_REQUEST = 400;
const CONFLICT_STATUS = 412;
const PRECONDITION_REQUIRED = 428;
const UNAVAILABLE = 503;

/** Builds a problem document of the administration interface. */
function buildAdminProblem(status: number, title: string, detail: string, outcome = 'not-run') {
  const type = `urn:guavaspindle:problem:${title.replaceAll(' ', '-')}`;
  return new Response(JSON.stringify({ type, title, status, detail, outcome }), {
    status,
    headers: { 'content-type': 'application/problem+json' },
  });
}

/** Builds the response for an edit that was not accepted. */
function buildEditProblem(error: EditError): Response {
  switch (error.type) {
    case 'conflict':
      return buildAdminProblem(CONFLICT_STATUS, 'row conflict', error.detail);
    case 'bad-cell':
      return buildAdminProblem(BAD_REQUEST, 'bad cell', error.detail);
    case 'store-unavailable':
      return buildAdminProblem(UNAVAILABLE, 'store unavailable', error.detail);
    case 'unsettled':
      return buildAdminProblem(UNAVAILABLE, 'write unsettled', error.detail, 'unknown');
    default:
      return error.type satisfies never;
  }
}

/** Reads the new row of a PUT, or the problem with it. */
function readRow(text: string, rowId: string): EditRequest['after'] | Response {
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return buildAdminProblem(BAD_REQUEST, 'bad cell', 'The body is not JSON.');
  }
  const cells: unknown = typeof body === 'object' && body !== null ? { ...body, rowId } : body;
  const checked = tableRowSchema.safeParse(cells);
  if (checked.success) {
    return checked.data;
  }
  const issue = checked.error.issues[0]!;
  const cell = issue.path.map(String).join('.');
  const detail = cell === '' ? issue.message : `${cell}: ${issue.message}`;
  return buildAdminProblem(BAD_REQUEST, 'bad cell', detail);
}

/** Names a role for people. */
function formatRole(role: Role): string {
  return Role[role].toLowerCase();
}

/** Builds the operators' HTTP interface. */
export function buildAdminApp(parts: AdminParts): Hono<AdminEnv> {
  const { keys, editor, table, membership, servers, timeline, log } = parts;
  const app = new Hono<AdminEnv>();

  app.get('/healthz', (context) => context.json({ status: 'ok' }));
  app.get('/readyz', (context) =>
    parts.isReady()
      ? context.json({ status: 'ready' })
      : buildProblemResponse(buildProblem('not-ready', 'not-run', 'No table yet.')),
  );

  app.use('/v1/*', async (context, next) => {
    const name = keys.findName(context.req.header('authorization'));
    if (name === undefined) {
      const detail = 'Send Authorization: Bearer with an operator key.';
      return buildProblemResponse(buildProblem('unauthenticated', 'not-run', detail));
    }
    context.set('operator', name);
    return next();
  });

  app.get('/v1/table', (context) => {
    const document = table.readDocument();
    if (document === undefined) {
      return buildAdminProblem(UNAVAILABLE, 'not ready', 'This agent has no table yet.');
    }
    const rows = document.rows.map(({ changedIn: _changedIn, ...row }) => row);
    context.header('etag', `"${document.revision}"`);
    return context.json({ revision: document.revision, rows });
  });

  app.get('/v1/table/history', (context) =>
    context.json({ edits: table.readDocument()?.edits ?? [] }),
  );

  app.get('/v1/table/adoption', (context) =>
    context.json({
      revision: table.readRevision(),
      processes: membership.listMembers().map((member) => ({
        incarnation: member.incarnation,
        role: formatRole(member.role),
        domain: member.domain,
        pid: member.pid,
        revision: Number(member.tableRevision),
      })),
    }),
  );

  const editRow = async (request: EditRequest): Promise<Response> => {
    const edited = await editor.editRow(request);
    return edited.match((document) => {
      table.adoptDocument(document);
      return new Response(JSON.stringify({ revision: document.revision, row: request.after }), {
        headers: { 'content-type': 'application/json', etag: `"${document.revision}"` },
      });
    }, buildEditProblem);
  };

  app.on(['PUT', 'DELETE'], '/v1/table/rows/:rowId', async (context) => {
    const ifMatch = context.req.header('if-match');
    if (ifMatch === undefined) {
      const detail = 'Send If-Match with the ETag of the table that you saw.';
      return buildAdminProblem(PRECONDITION_REQUIRED, 'precondition required', detail);
    }
    const seenRevision = parseIfMatch(ifMatch);
    if (seenRevision === undefined) {
      const detail = 'If-Match: must be the ETag of the table, such as "17".';
      return buildAdminProblem(BAD_REQUEST, 'bad header', detail);
    }
    const rowId = context.req.param('rowId');
    const after = context.req.method === 'PUT' ? readRow(await context.req.text(), rowId) : null;
    if (after instanceof Response) {
      return after;
    }
    const operator = context.get('operator');
    return editRow({ editId: randomUUID(), operator, rowId, after, seenRevision });
  });

  app.get('/v1/status', (context) =>
    context.json({
      domain: parts.domain,
      tableRevision: table.readRevision(),
      members: membership.listMembers().map((member) => ({
        incarnation: member.incarnation,
        role: formatRole(member.role),
        domain: member.domain,
        address: member.address,
        pid: member.pid,
        draining: member.draining,
        tableRevision: Number(member.tableRevision),
        backlogMs: Math.round(member.backlogMs),
      })),
      agents: membership.listAgents().map((view) => ({
        incarnation: view.agentIncarnation,
        domain: view.domain,
        address: view.address,
        readsStore: view.readsStore,
      })),
      backendServers: servers.readServers(),
    }),
  );

  app.get('/v1/timeline', async (context) => {
    const since = Number(context.req.query('since') ?? 0);
    if (!Number.isFinite(since)) {
      const detail = 'since: must be milliseconds since the Unix epoch.';
      return buildAdminProblem(BAD_REQUEST, 'bad request', detail);
    }
    return context.json(await timeline.collectTimeline(since, context.req.query('job')));
  });

  app.post('/v1/drain', async (context) => {
    const local = membership.listLocal();
    const asked = await Promise.all(
      local.map(async (member) => ({
        incarnation: member.incarnation,
        role: formatRole(member.role),
        draining: await timeline.drainProcess(member.address),
      })),
    );
    return context.json({ processes: asked }, 202);
  });

  app.notFound(() => buildAdminProblem(404, 'not found', 'No such path.'));
  app.onError((error) => {
    log.error({ err: error }, 'an administration request failed');
    return buildAdminProblem(500, 'internal', 'The agent failed.', 'unknown');
  });
  return app;
}
