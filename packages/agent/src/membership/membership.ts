import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { EventRingBuffer } from '@guavaspindle/kernel/events/event-ring-buffer';
import { rankNodes } from '@guavaspindle/kernel/placement/rank-nodes';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import {
  InstanceViewSchema,
  type InstanceView,
  type Member,
  type ViewDigest,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';

/** A local process that was silent this long is taken for dead. */
const LOCAL_EXPIRY_MS = 2_000;
/** An instance whose heartbeat stood still this long is taken for dead. */
const VIEW_EXPIRY_MS = 3_000;
/** Heartbeats from other failure domains come more slowly. */
const REMOTE_VIEW_EXPIRY_MS = 8_000;
/**
 * The last heartbeat of a dead instance is remembered this long. Agents that have not noticed its
 * death yet still hand its view on; without the memory they would revive it with each other forever.
 */
const DEAD_MEMORY_MS = 300_000;
/** Agents of a failure domain that read the platform's store; the others hear from them. */
const STORE_READERS = 2;
const READER_RANK_KEY = 'store-reader';

/** Something with the time when it was last heard of. */
interface Heard<Value> {
  readonly value: Value;
  readonly heardAtMs: number;
}

/** What identifies this agent. */
interface AgentIdentity {
  readonly incarnation: string;
  readonly domain: string;
  readonly address: string;
}

/** Which processes live, by heartbeats: local ones directly, others through their agents. */
export class Membership {
  private readonly local = new Map<string, Heard<Member>>();

  private readonly views = new Map<string, Heard<InstanceView>>();

  /** Last heartbeats of instances that are taken for dead, by the incarnation of their agent. */
  private readonly dead = new Map<string, Heard<bigint>>();

  private heartbeat = 0n;

  private roster = '';

  private rosterVersion = 0n;

  private readsStore = false;

  constructor(
    private readonly identity: AgentIdentity,
    private readonly clock: Clock,
    private readonly ring: EventRingBuffer,
  ) {}

  /** Takes a local process's heartbeat. */
  recordLocal(member: Member): void {
    if (!this.local.has(member.incarnation)) {
      this.recordEvent('member-joined', member.incarnation);
    }
    this.local.set(member.incarnation, { value: member, heardAtMs: this.clock.now() });
  }

  /** Takes other agents' views; only a heartbeat that has grown counts as a sign of life. */
  recordViews(views: readonly InstanceView[]): void {
    views.forEach((view) => {
      const { agentIncarnation, heartbeat } = view;
      const known = this.views.get(agentIncarnation)?.value.heartbeat;
      const last = known ?? this.dead.get(agentIncarnation)?.value ?? -1n;
      if (heartbeat > last && agentIncarnation !== this.identity.incarnation) {
        this.dead.delete(agentIncarnation);
        this.views.set(agentIncarnation, { value: view, heardAtMs: this.clock.now() });
      }
    });
  }

  /** Grows this agent's heartbeat and forgets what was silent for too long. */
  advanceHeartbeat(): void {
    this.heartbeat += 1n;
    const nowMs = this.clock.now();
    this.local.forEach((heard, incarnation) => {
      if (nowMs - heard.heardAtMs > LOCAL_EXPIRY_MS) {
        this.local.delete(incarnation);
        this.recordEvent('member-left', incarnation);
      }
    });
    this.views.forEach((heard, incarnation) => {
      const isLocalDomain = heard.value.domain === this.identity.domain;
      const expiryMs = isLocalDomain ? VIEW_EXPIRY_MS : REMOTE_VIEW_EXPIRY_MS;
      if (nowMs - heard.heardAtMs > expiryMs) {
        this.views.delete(incarnation);
        this.dead.set(incarnation, { value: heard.value.heartbeat, heardAtMs: nowMs });
        this.recordEvent('member-left', incarnation);
      }
    });
    this.dead.forEach((heard, incarnation) => {
      if (nowMs - heard.heardAtMs > DEAD_MEMORY_MS) {
        this.dead.delete(incarnation);
      }
    });
  }

  /** Notes whether this agent reads the store with success. */
  setReadsStore(readsStore: boolean): void {
    if (this.readsStore !== readsStore) {
      this.readsStore = readsStore;
      this.ring.recordEvent({ type: readsStore ? 'store-reached' : 'store-lost', detail: {} });
    }
  }

  /** Tells whether this agent is to read the store, given which better-ranked peers do. */
  isStoreReader(): boolean {
    const { domain, incarnation } = this.identity;
    const peers = [...this.views.values()]
      .map((heard) => heard.value)
      .filter((view) => view.domain === domain);
    const reading = new Set(
      peers.filter((view) => view.readsStore).map((view) => view.agentIncarnation),
    );
    const ranked = rankNodes(READER_RANK_KEY, [
      incarnation,
      ...peers.map((view) => view.agentIncarnation),
    ]);
    const better = ranked.slice(0, ranked.indexOf(incarnation));
    return better.filter((peer) => reading.has(peer)).length < STORE_READERS;
  }

  /** Builds what this agent tells of its own instance. */
  buildOwnView(): MessageInitShape<typeof InstanceViewSchema> {
    return {
      agentIncarnation: this.identity.incarnation,
      domain: this.identity.domain,
      address: this.identity.address,
      heartbeat: this.heartbeat,
      readsStore: this.readsStore,
      members: this.listLocal(),
    };
  }

  /** The heartbeats known of other instances. */
  buildDigest(): { agentIncarnation: string; heartbeat: bigint }[] {
    return [...this.views.values()].map(({ value }) => ({
      agentIncarnation: value.agentIncarnation,
      heartbeat: value.heartbeat,
    }));
  }

  /** The views that are newer than a digest, this agent's own among them. */
  listNewerViews(known: readonly ViewDigest[], asker: string): InstanceView[] {
    const heartbeats = new Map(known.map((digest) => [digest.agentIncarnation, digest.heartbeat]));
    const own = create(InstanceViewSchema, this.buildOwnView());
    return [own, ...[...this.views.values()].map((heard) => heard.value)].filter(
      (view) =>
        view.agentIncarnation !== asker &&
        view.heartbeat > (heartbeats.get(view.agentIncarnation) ?? -1n),
    );
  }

  /** Version of the list of members; it grows when a process comes, goes, is ready or drains. */
  readRosterVersion(): bigint {
    const roster = this.listMembers()
      .map((member) => `${member.incarnation} ${member.ready} ${member.draining}`)
      .sort()
      .join();
    if (roster !== this.roster) {
      this.roster = roster;
      this.rosterVersion += 1n;
    }
    return this.rosterVersion;
  }

  /** Every live process other than agents, in all failure domains. */
  listMembers(): Member[] {
    return [
      ...this.listLocal(),
      ...[...this.views.values()].flatMap((heard) => heard.value.members),
    ];
  }

  /** Live processes of this instance. */
  listLocal(): Member[] {
    return [...this.local.values()].map((heard) => heard.value);
  }

  /** Other live agents. */
  listAgents(): InstanceView[] {
    return [...this.views.values()].map((heard) => heard.value);
  }

  private recordEvent(type: 'member-joined' | 'member-left', incarnation: string): void {
    this.ring.recordEvent({ type, detail: { member: incarnation } });
  }
}
