import { create } from '@bufbuild/protobuf';
import { Membership } from '@guavaspindle/agent/membership/membership';
import { EventRingBuffer } from '@guavaspindle/kernel/events/event-ring-buffer';
import { HybridClock } from '@guavaspindle/kernel/events/hybrid-clock';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import {
  InstanceViewSchema,
  MemberSchema,
  ViewDigestSchema,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';

const EXCHANGE_MS = 400;

/** A clock that tests move. */
class VirtualClock implements Clock {
  nowMs = 0;

  now(): number {
    return this.nowMs;
  }

  wall(): number {
    return this.nowMs;
  }

  pause(): Promise<void> {
    return Promise.resolve();
  }
}

/** Builds an agent's membership with one process of its own. */
function buildAgent(name: string, clock: Clock): Membership {
  const identity = { incarnation: name, domain: 'oviedo', address: `127.0.0.1:${name.length}` };
  const membership = new Membership(
    identity,
    clock,
    new EventRingBuffer('agent', new HybridClock(clock), 100),
  );
  membership.recordLocal(create(MemberSchema, { incarnation: `${name}-dispatcher` }));
  return membership;
}

/** Lets one agent take what it lacks from another, as the exchange does. */
function exchangeViews(asker: Membership, answerer: Membership): void {
  const self = create(InstanceViewSchema, asker.buildOwnView());
  answerer.recordViews([self]);
  const known = asker.buildDigest().map((digest) => create(ViewDigestSchema, digest));
  asker.recordViews(answerer.listNewerViews(known, self.agentIncarnation));
}

/** Runs rounds of exchanges between all agents, whose processes stay alive. */
function runRounds(clock: VirtualClock, agents: Record<string, Membership>, forMs: number): void {
  const names = Object.keys(agents);
  for (const endMs = clock.nowMs + forMs; clock.nowMs < endMs; clock.nowMs += EXCHANGE_MS) {
    names.forEach((name, index) => {
      const agent = agents[name]!;
      agent.recordLocal(create(MemberSchema, { incarnation: `${name}-dispatcher` }));
      agent.advanceHeartbeat();
      const other = agents[names[(index + 1) % names.length]!]!;
      exchangeViews(agent, other);
    });
  }
}

/** Lists the processes that an agent takes for alive. */
function listNames(membership: Membership): string[] {
  return membership
    .listMembers()
    .map(({ incarnation }) => incarnation)
    .sort();
}

describe('membership', () => {
  it.each([1, 2, 3])(
    'forgets a killed instance, also when fresh agents hear of it late: %i fresh agents',
    (fresh) => {
      const clock = new VirtualClock();
      const kept = buildAgent('kept', clock);
      const killed = buildAgent('killed', clock);
      runRounds(clock, { kept, killed }, 2_000);
      expect(listNames(kept)).toEqual(['kept-dispatcher', 'killed-dispatcher']);
      const agents: Record<string, Membership> = { kept };
      for (let number = 1; number <= fresh; number += 1) {
        agents[`fresh${number}`] = buildAgent(`fresh${number}`, clock);
      }
      runRounds(clock, agents, 15_000);
      const expected = Object.keys(agents).map((name) => `${name}-dispatcher`);
      Object.values(agents).forEach((agent) => expect(listNames(agent)).toEqual(expected.sort()));
    },
  );

  it('takes an instance back that was cut off and is heard again', () => {
    const clock = new VirtualClock();
    const kept = buildAgent('kept', clock);
    const cut = buildAgent('cut', clock);
    runRounds(clock, { kept, cut }, 2_000);
    runRounds(clock, { kept, other: buildAgent('other', clock) }, 10_000);
    expect(listNames(kept)).not.toContain('cut-dispatcher');
    cut.advanceHeartbeat();
    runRounds(clock, { kept, cut }, 1_200);
    expect(listNames(kept)).toContain('cut-dispatcher');
  });
});
