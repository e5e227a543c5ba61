/* eslint-disable no-await-in-loop -- one step after the other */
import type Logger from 'bunyan';
import type { HandedJob } from '@guavaspindle/kernel/engine/handed-job';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { EntryJobs } from '../entry/entry-jobs';
import { askView } from '../links/ask-view';
import type { EntryPort } from '../links/entry-port';
import type { InstanceView } from '../links/instance-view';
import type { LeadHost } from '../links/lead-host';
import { LeaderLink } from '../links/leader-link';
import type { PoolLeader } from '../pool/pool-leader';
import type { InstanceEntry } from '../registry/instance-entry';
import type { LeadClaim } from '../registry/lead-claim';
import type { Registry } from '../registry/registry';
import { leadTiming } from './lead-timing';

interface LeadKeeperOptions {
  readonly self: InstanceEntry;
  readonly registry: Registry;
  readonly entry: EntryJobs;
  readonly clock: Clock;
  readonly log: Logger;
  /** Starts to lead all servers, or those of the own failure domain alone. */
  openPool(token: number, scope: 'all' | 'domain', onFenced: () => void): PoolLeader;
}

/** Asks instances how they see the leader, all at the same time. */
async function askViews(
  others: readonly InstanceEntry[],
): Promise<{ other: InstanceEntry; view: InstanceView | undefined }[]> {
  return Promise.all(
    others.map(async (other) => ({
      other,
      view: await askView(other.address, leadTiming.viewMs),
    })),
  );
}

/**
 * Keeps this instance connected to whoever leads the pool, and leads itself when nobody else does.
 * The lead is claimed in the platform's store; a failure domain that reaches neither the leader nor
 * the store is led by one of its own instances with a fencing token fetched before.
 */
export class LeadKeeper implements LeadHost {
  private pool: PoolLeader | undefined;

  private scope: 'all' | 'domain' = 'all';

  private link: LeaderLink | undefined;

  private isIsolated = false;

  private isDraining = false;

  private wasFenced = false;

  private isLeaderLeaving = false;

  private yieldUntilMs = 0;

  private nextWriteMs = 0;

  private wake: (() => void) | undefined;

  private isClosed = false;

  constructor(private readonly options: LeadKeeperOptions) {}

  /** Tells whether jobs can be handed to a leader now. */
  isConnected(): boolean {
    return this.pool !== undefined || this.link !== undefined;
  }

  /** Runs until it is closed; never rejects. */
  async run(): Promise<void> {
    const { clock } = this.options;
    while (!this.isClosed) {
      await this.runStep();
      await new Promise<void>((resolve) => {
        this.wake = resolve;
        void clock.pause(leadTiming.stepMs).then(resolve);
      });
    }
  }

  /** Looks at the state of the lead without waiting for the next step. */
  wakeUp(): void {
    this.wake?.();
  }

  /** Notes that the leader gives up the lead. */
  recordLeaving(): void {
    this.isLeaderLeaving = this.pool === undefined;
    this.wakeUp();
  }

  /** Hands the lead over, if this instance has it; resolves when another one leads. */
  async drain(): Promise<void> {
    const { clock } = this.options;
    this.isDraining = true;
    if (this.pool === undefined || this.scope === 'domain') {
      return;
    }
    this.pool.reportLeaving();
    const endMs = clock.now() + leadTiming.handOverMs;
    while (this.pool !== undefined && clock.now() < endMs) {
      await clock.pause(leadTiming.stepMs);
    }
  }

  /** Stops leading and closes the link. */
  close(): void {
    this.isClosed = true;
    this.endLead('shutdown');
    this.link?.close('shutdown');
    this.wakeUp();
  }

  openEntry(name: InstanceName, port: EntryPort): 'all' | 'domain' | undefined {
    this.pool?.addEntry(name, port);
    return this.pool === undefined ? undefined : this.scope;
  }

  closeEntry(name: InstanceName, port: EntryPort): void {
    this.pool?.dropEntry(name, port);
  }

  submitJob(handed: HandedJob): void {
    this.pool?.submitJob(handed);
  }

  cancelJob(id: JobId): boolean {
    return this.pool?.cancelJob(id) ?? false;
  }

  dropCaller(id: JobId, owner: InstanceName): void {
    this.pool?.dropCaller(id, owner);
  }

  getView(): InstanceView {
    const { clock, self } = this.options;
    const isHeard =
      this.link !== undefined && clock.now() - this.link.heardAtMs < leadTiming.heardMs;
    let heardLeader = isHeard ? this.link!.leader.incarnation : '';
    if (this.pool !== undefined && this.scope === 'all') {
      heardLeader = self.incarnation;
    }
    return {
      heardLeader,
      isIsolated: this.isIsolated,
      leadsDomain: this.pool !== undefined && this.scope === 'domain',
    };
  }

  private async runStep(): Promise<void> {
    const claim = this.options.registry.findClaim();
    if (this.pool !== undefined) {
      await (this.scope === 'all'
        ? this.advanceAsLeader(claim)
        : this.advanceAsDomainLeader(claim));
    } else if (this.link !== undefined) {
      await this.advanceAsFollower(claim);
    } else {
      await this.advanceAlone(claim);
    }
  }

  private async advanceAsLeader(claim: LeadClaim | undefined): Promise<void> {
    const { registry, self, clock } = this.options;
    if (claim !== undefined && claim.leader.incarnation !== self.incarnation) {
      this.endLead(`replaced by ${claim.leader.name}`);
    } else if (this.wasFenced && clock.now() >= this.nextWriteMs) {
      // Someone has used a higher token: an instance that was cut off, or a new leader.
      this.nextWriteMs = clock.now() + leadTiming.writePauseMs;
      await registry.readNow();
      const current = registry.findClaim();
      if (current !== undefined && current.leader.incarnation !== self.incarnation) {
        this.endLead(`replaced by ${current.leader.name}`);
        return;
      }
      const renewed = await registry.claimLead();
      if (renewed !== undefined) {
        this.wasFenced = false;
        this.options.log.warn({ token: renewed.revision }, 'lead claimed anew with a higher token');
        this.pool?.adoptToken(renewed.revision);
      }
    }
  }

  private async advanceAsFollower(claim: LeadClaim | undefined): Promise<void> {
    const { registry, clock, log } = this.options;
    const { link } = this;
    if (link === undefined || claim === undefined) {
      return;
    }
    if (link.isDomainOnly) {
      // That instance looks for the way back, and the link ends when it has found it.
      return;
    }
    if (claim.leader.incarnation !== link.leader.incarnation) {
      link.close(`${claim.leader.name} leads now`);
      return;
    }
    if (this.isLeaderLeaving && !this.isDraining) {
      await this.claimInTurn(claim);
    } else if (registry.findStandbyToken() === undefined && clock.now() >= this.nextWriteMs) {
      this.nextWriteMs = clock.now() + leadTiming.writePauseMs;
      if (await registry.writeOwnEntry()) {
        log.info({ token: registry.findStandbyToken() }, 'standby token fetched');
      }
    }
  }

  /** Leads the own domain while cut off, and looks for a way back to the others. */
  private async advanceAsDomainLeader(claim: LeadClaim | undefined): Promise<void> {
    const { clock, registry, self } = this.options;
    if (this.wasFenced) {
      this.wasFenced = false;
      this.yieldUntilMs = clock.now() + leadTiming.yieldMs;
      this.endLead('a server has seen a higher token');
      return;
    }
    await clock.pause(leadTiming.seekMs);
    if (claim !== undefined && claim.leader.incarnation !== self.incarnation) {
      const view = await askView(claim.leader.address, leadTiming.viewMs);
      if (view?.heardLeader === claim.leader.incarnation) {
        this.endLead('the leader is back in reach');
        return;
      }
    }
    if (await registry.readNow()) {
      const current = registry.findClaim();
      if (current?.leader.incarnation !== claim?.leader.incarnation) {
        this.endLead('another instance leads');
        return;
      }
      const views = await askViews(registry.listOthers());
      if (!views.some(({ view }) => view?.heardLeader === claim?.leader.incarnation)) {
        await this.claim();
      }
    }
  }

  private async advanceAlone(claim: LeadClaim | undefined): Promise<void> {
    const { registry, self, clock } = this.options;
    if (!registry.hasBeenRead()) {
      return;
    }
    if (claim === undefined) {
      await this.claimUnlessDraining();
    } else if (claim.leader.incarnation === self.incarnation) {
      this.beginLead(claim.revision, 'all');
    } else if (claim.leader.name === self.name) {
      // An earlier life of this instance led; it is over.
      await this.claimUnlessDraining();
    } else if (!(await this.openLink(claim.leader))) {
      await this.handleLostLeader(claim);
      await clock.pause(leadTiming.retryMs);
    }
  }

  private async handleLostLeader(claim: LeadClaim): Promise<void> {
    const { registry, log } = this.options;
    const others = registry.listOthers().filter(({ name }) => name !== claim.leader.name);
    const [views, isStoreThere] = await Promise.all([askViews(others), registry.readNow()]);
    if (registry.findClaim()?.revision !== claim.revision) {
      return;
    }
    const heardBy = views.find(({ view }) => view?.heardLeader === claim.leader.incarnation);
    if (heardBy !== undefined) {
      log.warn(
        { leader: claim.leader.name, heardBy: heardBy.other.name },
        'leader out of reach of this instance only',
      );
      return;
    }
    this.isIsolated = !isStoreThere;
    if (isStoreThere) {
      await this.claimInTurn(claim);
    } else {
      await this.joinOrLeadDomain(views);
    }
  }

  private async joinOrLeadDomain(
    views: readonly { other: InstanceEntry; view: InstanceView | undefined }[],
  ): Promise<void> {
    const { self, registry, clock, log } = this.options;
    const nearby = views.filter(
      ({ other, view }) => other.domain === self.domain && view !== undefined,
    );
    const domainLeader = nearby.find(({ view }) => view?.leadsDomain === true);
    if (domainLeader !== undefined) {
      await this.openLink(domainLeader.other);
      return;
    }
    const isFirst = nearby.every(({ other }) => other.name > self.name);
    const token = registry.findStandbyToken();
    if (!isFirst || clock.now() < this.yieldUntilMs || this.isDraining) {
      return;
    }
    if (token === undefined) {
      log.error({}, 'cut off without a fencing token; the domain cannot be led');
      return;
    }
    this.beginLead(token, 'domain');
  }

  /** Claims the lead after those before this instance have had their turn. */
  private async claimInTurn(claim: LeadClaim): Promise<void> {
    const { registry, self, clock } = this.options;
    const candidates = [...registry.listOthers(), self]
      .filter(({ name }) => name !== claim.leader.name)
      .map(({ name }) => name)
      .sort();
    await clock.pause(Math.max(0, candidates.indexOf(self.name)) * leadTiming.rankMs);
    if (registry.findClaim()?.revision === claim.revision) {
      await this.claimUnlessDraining();
    }
  }

  private async claimUnlessDraining(): Promise<void> {
    if (!this.isDraining) {
      await this.claim();
    }
  }

  private async claim(): Promise<void> {
    const claimed = await this.options.registry.claimLead();
    if (claimed !== undefined) {
      this.endLead('the lead of all domains is claimed');
      this.beginLead(claimed.revision, 'all');
    }
  }

  private beginLead(token: number, scope: 'all' | 'domain'): void {
    const { entry, self, log } = this.options;
    log.warn({ token, scope }, 'this instance leads');
    this.scope = scope;
    this.wasFenced = false;
    this.isLeaderLeaving = false;
    const pool = this.options.openPool(token, scope, () => {
      this.wasFenced = true;
      this.wakeUp();
    });
    this.pool = pool;
    this.link?.close('this instance leads');
    pool.addEntry(self.name, entry);
    entry.setLeader({
      isDomainOnly: scope === 'domain',
      submitJob: (handed) => pool.submitJob({ ...handed, owner: self.name }),
      cancelJob: (id) => entry.answerCancel(id, pool.cancelJob(id)),
      dropCaller: (id) => pool.dropCaller(id, self.name),
    });
  }

  private endLead(reason: string): void {
    const { pool } = this;
    if (pool === undefined) {
      return;
    }
    this.options.log.warn({ scope: this.scope, reason }, 'this instance stops leading');
    this.pool = undefined;
    this.options.entry.setLeader(undefined);
    pool.close();
  }

  private async openLink(leader: InstanceEntry): Promise<boolean> {
    const { self, clock, entry, log } = this.options;
    const link = new LeaderLink(leader, self, clock, entry, (reason) => {
      if (this.link === link) {
        log.warn({ leader: leader.name, reason }, 'link to the leader lost');
        this.link = undefined;
        entry.setLeader(undefined);
        this.wakeUp();
      }
    });
    const opened = await link.open();
    if (opened !== 'up' || this.isClosed) {
      link.close('not opened');
      log.info({ leader: leader.name, opened }, 'no link to the leader');
      return false;
    }
    log.info({ leader: leader.name }, 'link to the leader open');
    this.isIsolated = false;
    this.isLeaderLeaving = false;
    this.link = link;
    entry.setLeader(link);
    return true;
  }
}
