import type Logger from 'bunyan';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { StoreClient } from '@guavaspindle/platform-adapter/store/store-client';
import type { StoreEvent } from '@guavaspindle/platform-adapter/store/store-event';
import type { StoreItem } from '@guavaspindle/platform-adapter/store/store-item';
import type { StoreSnapshot } from '@guavaspindle/platform-adapter/store/store-snapshot';
import type { MirrorListener } from '../store/mirror-listener';
import type { RegisteredInstance } from './registered-instance';
import type { LeadershipClaim } from './leadership-claim';
import { parseRegisteredInstance } from './parse-registered-instance';

const PREFIX = 'guavaspindle/';
const LEADER_KEY = `${PREFIX}leader`;
const INSTANCES_PREFIX = `${PREFIX}instances/`;

/** The system's own records in the platform's store: who leads and which instances there are. */
export class InstanceRegistry implements MirrorListener {
  static readonly prefix = PREFIX;

  private claim: LeadershipClaim | undefined;

  private readonly instances = new Map<InstanceName, RegisteredInstance>();

  private isRead = false;

  /** Revision of this instance's own entry; higher than the claim's once it is written after it. */
  private ownRecordRevision = 0;

  /** @param onChange - called after each change of the claim */
  constructor(
    private readonly self: RegisteredInstance,
    private readonly store: StoreClient,
    private readonly log: Logger,
    private readonly onChange: () => void,
  ) {}

  /** Tells whether the store has been read at least once. */
  hasBeenRead(): boolean {
    return this.isRead;
  }

  /** Who leads, as last read; undefined if nobody has claimed the lead. */
  findClaim(): LeadershipClaim | undefined {
    return this.claim;
  }

  /** The other instances, by name. */
  listOthers(): RegisteredInstance[] {
    return [...this.instances.values()]
      .filter(({ name }) => name !== this.self.name)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /**
   * A fencing token for this instance's own failure domain, higher than the leader's; undefined
   * until one has been written after the leader's claim.
   */
  findFallbackToken(): number | undefined {
    return this.ownRecordRevision > (this.claim?.revision ?? 0)
      ? this.ownRecordRevision
      : undefined;
  }

  onSnapshot({ items }: StoreSnapshot): void {
    this.isRead = true;
    const listed = new Set(items.map(({ key }) => key));
    this.instances.forEach((instance, name) => {
      if (!listed.has(INSTANCES_PREFIX + instance.name)) {
        this.instances.delete(name);
      }
    });
    items.forEach((item) => this.applyItem(item));
    this.onChange();
  }

  onEvents(events: readonly StoreEvent[]): void {
    events.forEach((event) => {
      if (event.kind === 'written') {
        this.applyItem(event.item);
      } else if (event.key.startsWith(INSTANCES_PREFIX)) {
        this.instances.delete(event.key.slice(INSTANCES_PREFIX.length) as InstanceName);
      }
    });
    this.onChange();
  }

  /** Reads the records now; false if the store does not answer. */
  async readNow(): Promise<boolean> {
    const snapshot = await this.store.readPrefix(PREFIX);
    if (snapshot.isErr()) {
      return false;
    }
    this.onSnapshot(snapshot.value);
    return true;
  }

  /** Writes this instance's entry, after the current claim. */
  async writeOwnRecord(): Promise<boolean> {
    const text = JSON.stringify(this.self);
    const written = await this.store.commitWrite({
      key: INSTANCES_PREFIX + this.self.name,
      text,
      expectedRevision: undefined,
    });
    if (written.isErr()) {
      this.log.warn({ failure: written.error }, 'own entry not written');
      return false;
    }
    if (written.value.kind === 'written') {
      this.ownRecordRevision = Math.max(this.ownRecordRevision, written.value.revision);
    }
    return true;
  }

  /** Removes this instance's entry, at a planned shutdown. */
  async dropOwnRecord(): Promise<void> {
    const removed = await this.store.deleteKey(INSTANCES_PREFIX + this.self.name);
    if (removed.isErr()) {
      this.log.warn({ failure: removed.error }, 'own entry not removed');
    }
  }

  /**
   * Claims the lead if nobody else has since the claim that is known here.
   *
   * @returns the new claim if this instance leads now; undefined if not, or if it is not known
   */
  async claimLeadership(): Promise<LeadershipClaim | undefined> {
    const expectedRevision = this.claim?.revision ?? 0;
    const written = await this.store.commitWrite({
      key: LEADER_KEY,
      text: JSON.stringify(this.self),
      expectedRevision,
    });
    if (written.isOk() && written.value.kind === 'written') {
      this.applyClaim({ leader: this.self, revision: written.value.revision });
    } else {
      // Someone else was first, or the answer was lost after the write.
      await this.readNow();
    }
    const claim = this.findClaim();
    const isNew = claim !== undefined && claim.revision !== expectedRevision;
    return isNew && claim.leader.incarnation === this.self.incarnation ? claim : undefined;
  }

  private applyItem({ key, text, revision }: StoreItem): void {
    const instance = parseRegisteredInstance(text);
    if (instance === undefined) {
      this.log.warn({ key, revision }, 'own record not understood; it is ignored');
      return;
    }
    if (key === LEADER_KEY) {
      this.applyClaim({ leader: instance, revision });
    } else if (key.startsWith(INSTANCES_PREFIX)) {
      this.instances.set(instance.name, instance);
      if (instance.incarnation === this.self.incarnation) {
        this.ownRecordRevision = Math.max(this.ownRecordRevision, revision);
      }
    }
  }

  private applyClaim(claim: LeadershipClaim): void {
    if (claim.revision > (this.claim?.revision ?? 0)) {
      this.claim = claim;
    }
  }
}
