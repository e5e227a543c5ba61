import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { DispatcherDirectory } from '@guavaspindle/gateway/routing/dispatcher-directory';
import type { Submission } from '@guavaspindle/gateway/routing/submission';
import { SubmissionRouter } from '@guavaspindle/gateway/routing/submission-router';
import type { TicketStock } from '@guavaspindle/gateway/routing/ticket-stock';
import { buildProblem } from '@guavaspindle/kernel/dispatch/build-problem';
import type { CallerName } from '@guavaspindle/kernel/ids/caller-name';
import type { KindName } from '@guavaspindle/kernel/ids/kind-name';
import {
  JobReplySchema,
  MemberSchema,
  type DispatcherService,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import type { ClientPool } from '@guavaspindle/runtime/control/client-pool';

const OWNERS = ['0'.repeat(16), '1'.repeat(16)];

type Reply = 'lost' | 'refused' | 'complete';

/** Builds a ticket of an owner. */
function buildTicket(incarnation: string): string {
  return `t1.oviedo.${incarnation}.0.${'0'.repeat(24)}`;
}

/** Answers one call, or throws as a lost connection does. */
function answerCall(reply: Reply) {
  switch (reply) {
    case 'lost':
      throw new ConnectError('reset', Code.Unavailable);
    case 'refused': {
      const value = buildProblem('over-limit', 'not-run', 'Too many.');
      return create(JobReplySchema, { result: { case: 'problem', value } });
    }
    case 'complete':
      return create(JobReplySchema, { result: { case: 'complete', value: { answersJson: [] } } });
    default:
      return reply satisfies never;
  }
}

/** Builds a router over dispatchers that answer their calls in turn, and a list of those called. */
function buildRouter(replies: readonly (readonly Reply[])[]) {
  const called: string[] = [];
  const left = replies.map((list) => [...list]);
  const members = OWNERS.map((incarnation) =>
    create(MemberSchema, { incarnation, address: incarnation }),
  );
  const client = (address: string) => ({
    submitJob: () => {
      called.push(address);
      return Promise.resolve().then(() => answerCall(left[OWNERS.indexOf(address)]!.shift()!));
    },
  });
  const router = new SubmissionRouter({
    domain: 'oviedo',
    directory: {
      listInTurn: () => members,
      findOwner: (incarnation: string) => members.find((each) => each.incarnation === incarnation),
    } as unknown as DispatcherDirectory,
    clients: {
      getClient: client,
      openConnection: () => Promise.resolve(true),
    } as unknown as ClientPool<typeof DispatcherService>,
    stock: {
      takeTicket: (incarnation: string) => Promise.resolve(buildTicket(incarnation)),
    } as unknown as TicketStock,
    clock: { now: () => 0, wall: () => 0, pause: () => Promise.resolve() },
  });
  return { router, called };
}

/** Builds a submission. */
function buildSubmission(identity: Submission['identity']): Submission {
  return {
    identity,
    caller: 'costura' as CallerName,
    kind: 'label-check' as KindName,
    domain: undefined,
    bodyHash: 'hash',
    deadlineMs: 1_000,
    tasks: [{ payloadJson: '1' }],
    idempotent: false,
    wait: true,
  };
}

describe('a submission whose first copy got no answer', () => {
  const [first, second] = OWNERS;

  it.each([
    [
      'refused at once: the next dispatcher',
      [['refused'], ['complete']],
      [first, second],
      'complete',
    ],
    ['lost, then complete', [['lost', 'complete'], []], [first, first], 'complete'],
    [
      'lost, then refused: nobody else',
      [['lost', 'refused'], ['complete']],
      [first, first],
      'unknown',
    ],
    [
      'lost twice, then refused',
      [['lost', 'lost', 'refused'], []],
      [first, first, first],
      'unknown',
    ],
  ] as const)('%s', async (_name, replies, expected, outcome) => {
    const { router, called } = buildRouter(replies);
    const reply = await router.submitJob(buildSubmission({ type: 'none' }));
    expect(called).toEqual(expected);
    const result = reply.match(
      ({ result: { case: kind } }) => kind,
      (problem) => problem.outcome,
    );
    expect(result).toBe(outcome);
  });

  it.each([
    ['refused', ['refused'], 'not-run'],
    ['lost, then refused', ['lost', 'refused'], 'unknown'],
  ] as const)('under a ticket of the caller: %s', async (_name, replies, outcome) => {
    const { router } = buildRouter([replies, []]);
    const identity = { type: 'ticket', ticket: buildTicket(first!) } as const;
    const reply = await router.submitJob(buildSubmission(identity));
    const said = reply.match(
      ({ result }) => (result.case === 'problem' ? result.value.outcome : result.case),
      (problem) => problem.outcome,
    );
    expect(said).toBe(outcome);
  });
});
