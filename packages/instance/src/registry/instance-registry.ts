import type Logger from 'bunyan';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { PoolLayout } from '@guavaspindle/kernel/layout/pool-layout';
import type { StoreClient } from '@guavaspindle/platform-adapter/store/store-client';
import type { StoreEvent } from '@guavaspindle/platform-adapter/store/store-event';
import type { StoreItem } from '@guavaspindle/platform-adapter/store/store-item';
import type { StoreSnapshot } from '@guavaspindle/platform-adapter/store/store-snapshot';
import type { MirrorListener } from '../store/mirror-listener';
import type { RegisteredInstance } from './registered-instance';
import type { LeadershipClaim } from './leadership-claim';
import { parseLayout } from './parse-layout';
import { parseRegisteredInstance } from './parse-registered-instance';

const PREFIX = 'guavaspindle/';
const LEADERS_PREFIX = `${PREFIX}leaders/`;
const LAYOUT_KEY = `${PREFIX}layout`;
const INSTANCES_PREFIX = `${PREFIX}instances/`;

/** The records of this system in the platform's store: leadership claims, instances and the layout. */
export class InstanceRegistry implements MirrorListener {
  static readonly prefix = PREFIX;

  /** Builds the store key of the leadership claim of a part. */
  static buildClaimKey(part: PartId): string {
    return LEADERS_PREFIX + part;
  }

  private readonly claims = new Map<PartId, LeadershipClaim>();

  private layout: PoolLayout = new Map<DomainName, readonly number[]>();

  /**
   * Store revisions of the claims and the layout, which a write has to expect; also of records that are
   * invalid, and 0 for deleted ones.
   */
  private readonly revisions = new Map<string, number>();

  private readonly instances = new Map<InstanceName, RegisteredInstance>();

  private isRead = false;

  private isLeaving = false;

  /** Store revision of this instance's own record; above the claim's if written after the claim. */
  private ownRecordRevision = 0;

  /** @param onChange - called after each snapshot and each batch of changes */
  constructor(
    private readonly self: RegisteredInstance,
    private readonly store: StoreClient,
    private readonly log: Logger,
    private readonly onChange: () => void,
  ) {}

  /** Returns whether the store has been read at least once. */
  hasBeenRead(): boolean {
    return this.isRead;
  }

  /** The latest known claim of a part; undefined if no instance has claimed its leadership. */
  findClaim(part: PartId): LeadershipClaim | undefined {
    return this.claims.get(part);
  }

  /** The latest known layout; a single part until one has been written. */
  findLayout(): PoolLayout {
    return this.layout;
  }

  /** Writes a layout unless another instance has written one since; the mirror reports the result. */
  async writeLayout(layout: PoolLayout): Promise<void> {
    const written = await this.store.commitWrite({
      key: LAYOUT_KEY,
      text: JSON.stringify(Object.fromEntries(layout)),
      expectedRevision: this.findRevision(LAYOUT_KEY),
    });
    if (written.isErr()) {
      this.log.warn({ failure: written.error }, 'could not write the layout to the store');
    }
  }

  /** The other instances, sorted by name. */
  listOthers(): RegisteredInstance[] {
    return [...this.instances.values()]
      .filter(({ name }) => name !== this.self.name)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  /**
   * The fallback fencing token for a part in this instance's own failure domain, higher than the
   * leader's token; undefined until this instance's record has been written after the leader's claim.
   */
  findFallbackToken(part: PartId): number | undefined {
    return this.ownRecordRevision > (this.claims.get(part)?.revision ?? 0)
      ? this.ownRecordRevision
      : undefined;
  }

  onSnapshot({ items, revision }: StoreSnapshot): void {
    this.isRead = true;
    const listed = new Set(items.map(({ key }) => key));
    this.instances.forEach((instance, name) => {
      if (!listed.has(INSTANCES_PREFIX + instance.name)) {
        this.instances.delete(name);
      }
    });
    this.revisions.forEach((known, key) => {
      // A key that was written after the first page had been read is missing without having been deleted.
      if (!listed.has(key) && known <= revision) {
        this.revisions.set(key, 0);
      }
    });
    items.forEach((item) => this.applyItem(item));
    this.onChange();
  }

  onEvents(events: readonly StoreEvent[]): void {
    events.forEach((event) => {
      if (event.kind === 'written') {
        this.applyItem(event.item);
      } else if (this.revisions.has(event.key)) {
        this.revisions.set(event.key, 0);
      } else if (event.key.startsWith(INSTANCES_PREFIX)) {
        this.instances.delete(event.key.slice(INSTANCES_PREFIX.length) as InstanceName);
      }
    });
    this.onChange();
  }

  /** Reads all records from the store; returns false if the store does not answer. */
  async readNow(): Promise<boolean> {
    const snapshot = await this.store.readPrefix(PREFIX);
    if (snapshot.isErr()) {
      return false;
    }
    this.onSnapshot(snapshot.value);
    return true;
  }

  /**
   * Writes this instance's record, so that its revision is higher than the current claim's; returns
   * false if the store call fails or the record has been removed for good.
   */
  async writeOwnRecord(): Promise<boolean> {
    if (this.isLeaving) {
      return false;
    }
    const text = JSON.stringify(this.self);
    const written = await this.store.commitWrite({
      key: INSTANCES_PREFIX + this.self.name,
      text,
      expectedRevision: undefined,
    });
    if (written.isErr()) {
      this.log.warn(
        { failure: written.error },
        'could not write the record of this instance to the store',
      );
      return false;
    }
    if (written.value.kind === 'written') {
      this.ownRecordRevision = Math.max(this.ownRecordRevision, written.value.revision);
    }
    return true;
  }

  /** Removes this instance's record from the store at a planned shutdown. */
  async dropOwnRecord(): Promise<void> {
    this.isLeaving = true;
    const removed = await this.store.deleteKey(INSTANCES_PREFIX + this.self.name);
    if (removed.isErr()) {
      this.log.warn(
        { failure: removed.error },
        'could not remove the record of this instance from the store',
      );
    }
  }

  /**
   * Claims the leadership of a part, unless another instance has claimed it since the latest known
   * claim.
   *
   * @returns the new claim if this instance leads now; undefined if it does not or the result is
   * unknown
   */
  async claimLeadership(part: PartId): Promise<LeadershipClaim | undefined> {
    const expectedRevision = this.findRevision(LEADERS_PREFIX + part);
    // Higher than the expected revision if the claim has been deleted.
    const knownRevision = this.findClaim(part)?.revision ?? 0;
    const written = await this.store.commitWrite({
      key: LEADERS_PREFIX + part,
      text: JSON.stringify(this.self),
      expectedRevision,
    });
    if (written.isOk() && written.value.kind === 'written') {
      this.revisions.set(LEADERS_PREFIX + part, written.value.revision);
      this.applyClaim(part, { leader: this.self, revision: written.value.revision });
    } else {
      // Another instance wrote its claim first, or the reply was lost after the write.
      await this.readNow();
    }
    const claim = this.findClaim(part);
    const isNew = claim !== undefined && claim.revision > Math.max(expectedRevision, knownRevision);
    return isNew && claim.leader.incarnation === this.self.incarnation ? claim : undefined;
  }

  private findRevision(key: string): number {
    return this.revisions.get(key) ?? 0;
  }

  private applyItem({ key, text, revision }: StoreItem): void {
    if (key === LAYOUT_KEY || key.startsWith(LEADERS_PREFIX)) {
      if (revision < this.findRevision(key)) {
        return;
      }
      this.revisions.set(key, revision);
    }
    if (key === LAYOUT_KEY) {
      this.applyLayout(text, revision);
      return;
    }
    const instance = parseRegisteredInstance(text);
    if (
      instance === undefined ||
      (key.startsWith(INSTANCES_PREFIX) && key !== INSTANCES_PREFIX + instance.name)
    ) {
      this.log.warn({ key, revision }, 'ignoring an invalid instance record in the store');
      return;
    }
    if (key.startsWith(LEADERS_PREFIX)) {
      this.applyClaim(key.slice(LEADERS_PREFIX.length) as PartId, { leader: instance, revision });
    } else if (key.startsWith(INSTANCES_PREFIX)) {
      this.instances.set(instance.name, instance);
      if (instance.incarnation === this.self.incarnation) {
        this.ownRecordRevision = Math.max(this.ownRecordRevision, revision);
      }
    }
  }

  private applyClaim(part: PartId, claim: LeadershipClaim): void {
    if (claim.revision > (this.claims.get(part)?.revision ?? 0)) {
      this.claims.set(part, claim);
    }
  }

  private applyLayout(text: string, revision: number): void {
    const layout = parseLayout(text);
    if (layout === undefined) {
      this.log.error({ revision }, 'ignoring an invalid layout in the store');
    } else {
      this.layout = layout;
    }
  }
}
