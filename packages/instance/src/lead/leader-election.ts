/* eslint-disable no-await-in-loop -- the steps run one at a time */
import type Logger from 'bunyan';
import type { EngineSubmission } from '@guavaspindle/kernel/engine/engine-submission';
import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { IncarnationId } from '@guavaspindle/kernel/ids/incarnation-id';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { JobId } from '@guavaspindle/kernel/ids/job-id';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { PoolPart } from '@guavaspindle/kernel/layout/pool-part';
import { rankCandidates } from '@guavaspindle/kernel/layout/rank-candidates';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { EntryJobs } from '../entry/entry-jobs';
import { CancelCoordinator } from '../cancels/cancel-coordinator';
import type { CancelHints } from '../cancels/cancel-hints';
import type { CancelLedger } from '../cancels/cancel-ledger';
import { fetchInstanceView } from '../links/fetch-instance-view';
import type { EntryPort } from '../links/entry-port';
import type { InstanceView } from '../links/instance-view';
import { LeaderLink } from '../links/leader-link';
import type { PoolLeader } from '../pool/pool-leader';
import type { RegisteredInstance } from '../registry/registered-instance';
import type { LeadershipClaim } from '../registry/leadership-claim';
import type { InstanceRegistry } from '../registry/instance-registry';
import type { FleetMemory } from '../store/fleet-memory';
import { electionTiming } from './election-timing';
import { LeaderChangeHistory } from './leader-change-history';
import { PartServers } from './part-servers';

/** Reason for closing a link that no job needs any more. */
const NOT_NEEDED = 'not needed';

interface LeaderElectionOptions {
  /** The part of the backend servers whose leader is elected. */
  readonly part: PoolPart;
  readonly self: RegisteredInstance;
  readonly registry: InstanceRegistry;
  readonly entry: EntryJobs;
  /** The servers that leaders may have runs on. */
  readonly servers: FleetMemory;
  readonly clock: Clock;
  readonly log: Logger;
  /** Returns whether a link is needed to the leader of a part that this instance may not lead. */
  isNeeded(): boolean;
  /** Number of parts that this instance leads. */
  countLedParts(): number;
  /** Returns whether a part that this instance leads needs the reports of other parts' leaders. */
  isReportNeeded(): boolean;
  /**
   * Starts leading the servers of the part (`all`) or only those of them in this instance's failure
   * domain (`domain`). `onFenced` is called when a server has seen a higher fencing token;
   * `confirmClaim` reads the claim from the store and returns whether it is still this instance's.
   */
  openPool(
    part: PoolPart,
    token: number,
    scope: 'all' | 'domain',
    onFenced: () => void,
    confirmClaim: () => Promise<boolean>,
    cancelLedger: CancelLedger | undefined,
  ): PoolLeader;
  /** Opens the records of the part's cancellations in the store, under a leadership claim. */
  openCancelLedger(part: PartId, token: number): CancelLedger;
}

/** Fetches the views of the given instances in parallel. */
async function fetchInstanceViews(
  others: readonly RegisteredInstance[],
  part: PartId,
): Promise<{ other: RegisteredInstance; view: InstanceView | undefined }[]> {
  return Promise.all(
    others.map(async (other) => ({
      other,
      view: await fetchInstanceView(other.address, part, electionTiming.viewTimeoutMs),
    })),
  );
}

/**
 * Keeps this instance connected to the leader of a part of the backend servers, and takes over the
 * leadership when no other instance has it. The leadership is claimed in the platform's store; only
 * instances in the part's failure domain claim it. A failure domain that reaches neither the leader nor
 * the store is led by one of its own instances, with a fallback fencing token that the instance
 * obtained earlier.
 */
export class LeaderElection {
  private pool: PoolLeader | undefined;

  private cancelLedger: CancelLedger | undefined;

  private cancelCoordinator: CancelCoordinator | undefined;

  /** When a call began that has shown the claim to be this instance's, in monotonic milliseconds. */
  private claimConfirmedAtMs = -Infinity;

  private readonly changes = new LeaderChangeHistory();

  private readonly servers: PartServers;

  private scope: 'all' | 'domain' = 'all';

  private link: LeaderLink | undefined;

  private isIsolated = false;

  private isDraining = false;

  private wasFenced = false;

  /** Revision of the last own claim whose token all servers have refused while the store did not answer. */
  private fencedClaimRevision = -Infinity;

  private isLeaderLeaving = false;

  /** Whether the leader has said that it leaves, whoever is to take over. */
  private hasLeaderAnnounced = false;

  /** The last leader, if its process may have ended without notice. */
  private lostLeader: IncarnationId | undefined;

  private domainBackoffUntilMs = 0;

  private nextWriteAtMs = 0;

  private nextHandoverCheckAtMs = 0;

  private wake: (() => void) | undefined;

  private isWoken = false;

  private isClosed = false;

  constructor(private readonly options: LeaderElectionOptions) {
    this.servers = new PartServers(options.part, options.servers, options.entry);
  }

  /** Whether this instance leads the part now. */
  get isLeading(): boolean {
    return this.pool !== undefined;
  }

  /** Returns whether jobs can be submitted to a leader now. */
  isConnected(): boolean {
    return this.pool !== undefined || this.link !== undefined;
  }

  /** Runs the election loop until it is closed; never rejects. */
  async run(): Promise<void> {
    const { clock } = this.options;
    while (!this.isClosed) {
      this.isWoken = false;
      await this.runStep();
      if (!this.isWoken) {
        await new Promise<void>((resolve) => {
          this.wake = resolve;
          void clock.pause(this.computePauseMs()).then(resolve);
        });
        this.wake = undefined;
      }
    }
  }

  /** Begins the next step without a pause; called while a step runs, once that has ended. */
  wakeUp(): void {
    this.isWoken = true;
    this.wake?.();
  }

  /** Records that the leader is giving up the leadership to a successor, or else to any instance. */
  recordLeaderLeaving(successor: InstanceName | undefined): void {
    this.hasLeaderAnnounced = true;
    if (successor === undefined || successor === this.options.self.name) {
      this.isLeaderLeaving = this.pool === undefined;
      this.wakeUp();
    }
  }

  /**
   * Hands over the leadership if this instance has it with a claim in the store. Resolves when this
   * instance no longer leads, or after the timeout. May be called again: the instances that were linked before
   * may all have been leaving too.
   */
  async drain(timeoutMs: number): Promise<void> {
    const { clock } = this.options;
    this.isDraining = true;
    if (this.pool === undefined || this.scope === 'domain') {
      return;
    }
    this.pool.reportLeaving(undefined);
    const endMs = clock.now() + timeoutMs;
    while (this.pool !== undefined && clock.now() < endMs) {
      await clock.pause(electionTiming.checkIntervalMs);
    }
  }

  /** Stops leading, closes the link to the leader and ends the election loop. */
  close(): void {
    this.isClosed = true;
    this.stopLeading('shutdown');
    this.link?.close('shutdown');
    this.wakeUp();
  }

  openEntry(name: InstanceName, port: EntryPort, listsJobs: boolean): 'all' | 'domain' | undefined {
    this.pool?.addEntry(name, port, listsJobs);
    return this.pool === undefined ? undefined : this.scope;
  }

  closeEntry(name: InstanceName, port: EntryPort): void {
    this.pool?.dropEntry(name, port);
  }

  listServers(): readonly ServerReport[] {
    return this.pool?.listServers() ?? [];
  }

  adoptUnlistedServers(servers: readonly ServerReport[]): void {
    this.pool?.adoptUnlistedServers(servers);
  }

  submitJob(submission: EngineSubmission): void {
    this.pool?.submitJob(submission);
  }

  dropUnlistedJobs(owner: InstanceName): void {
    this.pool?.dropUnlistedJobs(owner);
  }

  /** Cancels a job if this instance leads; `answer` is called only if the cancellation is confirmed. */
  cancelJob(id: JobId, hints: CancelHints, answer: (isKnown: boolean) => void): void {
    void this.cancelCoordinator?.cancelJob(id, hints).then((isKnown) => {
      if (isKnown !== undefined) {
        answer(isKnown);
      }
    });
  }

  recordCancels(ids: readonly JobId[]): void {
    this.pool?.recordCancels(ids);
  }

  recordDoneTasks(tasks: readonly TaskId[]): void {
    this.pool?.recordDoneTasks(tasks);
  }

  dropCaller(id: JobId, owner: InstanceName): void {
    this.pool?.dropCaller(id, owner);
  }

  /** Asks the leader for a report of its load. */
  requestReport(): void {
    this.link?.requestReport();
  }

  getView(): InstanceView {
    const { self } = this.options;
    const { link } = this;
    let heardLeader = link?.hasHeardLeader() === true ? link.leader.incarnation : '';
    // The link may be idle: the next view shows whether the leader still answers.
    link?.requestPing();
    if (this.pool !== undefined && this.scope === 'all') {
      heardLeader = self.incarnation;
    }
    return {
      heardLeader,
      isIsolated: this.isIsolated,
      leadsDomain: this.pool !== undefined && this.scope === 'domain',
    };
  }

  private computePauseMs(): number {
    if (!this.canLead() && !this.options.isNeeded()) {
      return electionTiming.unneededCheckIntervalMs;
    }
    if (this.pool !== undefined) {
      return electionTiming.leadingCheckIntervalMs;
    }
    return this.isConnected()
      ? electionTiming.connectedCheckIntervalMs
      : electionTiming.checkIntervalMs;
  }

  private async runStep(): Promise<void> {
    const { registry, part } = this.options;
    const claim = registry.findClaim(part.id);
    if (claim !== undefined) {
      this.changes.recordClaim(claim.revision, this.options.clock.now());
    }
    if (!this.canLead() && !this.options.isNeeded()) {
      this.link?.close(NOT_NEEDED);
      return;
    }
    if (this.pool !== undefined) {
      await (this.scope === 'all'
        ? this.advanceAsLeader(claim)
        : this.advanceAsDomainLeader(claim));
    } else if (this.link !== undefined) {
      await this.advanceAsFollower(claim);
    } else {
      await this.advanceWithoutLeader(claim);
    }
  }

  private async advanceAsLeader(claim: LeadershipClaim | undefined): Promise<void> {
    const { registry, self, clock, part } = this.options;
    if (claim !== undefined && claim.leader.incarnation !== self.incarnation) {
      this.stopLeading(`replaced by ${claim.leader.name}`);
    } else if (this.wasFenced && clock.now() >= this.nextWriteAtMs) {
      // A server has seen a higher token, from an instance that was cut off or from a new leader.
      this.nextWriteAtMs = clock.now() + electionTiming.minWriteIntervalMs;
      const isRead = await registry.readNow();
      const current = registry.findClaim(part.id);
      if (current !== undefined && current.leader.incarnation !== self.incarnation) {
        this.stopLeading(`replaced by ${current.leader.name}`);
        return;
      }
      if (!isRead && this.pool?.fences.hasAllServers() === true) {
        // Another leader acts, and nothing can be ordered beside it.
        this.fencedClaimRevision = current?.revision ?? 0;
        this.stopLeading('all servers are fenced and the store does not answer');
        return;
      }
      const renewed = await registry.claimLeadership(part.id);
      if (renewed !== undefined) {
        this.wasFenced = false;
        this.options.log.warn(
          { token: renewed.revision },
          'leadership claimed again with a higher fencing token',
        );
        this.pool?.adoptToken(renewed.revision);
        this.cancelLedger?.adoptToken(renewed.revision);
      }
    } else if (clock.now() >= this.nextHandoverCheckAtMs) {
      this.nextHandoverCheckAtMs = clock.now() + electionTiming.handoverCheckIntervalMs;
      const successor = this.findBetterCandidate();
      if (successor !== undefined) {
        this.options.log.info(
          { part: part.id, successor },
          'handing over to a better suited instance',
        );
        this.pool?.reportLeaving(successor);
      }
    }
  }

  /**
   * Finds an instance that ranks before this one, has been connected for some time, and has more
   * processor capacity or would relieve this instance of one of several parts.
   */
  private findBetterCandidate(): InstanceName | undefined {
    const { self, countLedParts } = this.options;
    const candidates = this.rankCandidates();
    const ownRank = candidates.findIndex(({ name }) => name === self.name);
    return candidates
      .slice(0, ownRank)
      .find(
        ({ name, cores }) =>
          (cores > self.cores || countLedParts() > 1) &&
          this.pool?.isEntryConnectedFor(name, electionTiming.stableConnectionMs) === true,
      )?.name;
  }

  /** Ranks the instances that may lead the part, this one included, best first. */
  private rankCandidates(): readonly RegisteredInstance[] {
    const { registry, self, part } = this.options;
    const candidates = [...registry.listOthers(), self].filter(
      ({ domain }) => part.domain === undefined || part.domain === domain,
    );
    return rankCandidates(candidates, part);
  }

  private canLead(): boolean {
    const { part, self } = this.options;
    return part.domain === undefined || part.domain === self.domain;
  }

  private async advanceAsFollower(claim: LeadershipClaim | undefined): Promise<void> {
    const { registry, clock, log, part } = this.options;
    const { link } = this;
    if (link === undefined || claim === undefined) {
      return;
    }
    if (link.isDomainOnly) {
      // The domain leader checks whether it can rejoin the others, and closes the link when it can.
      return;
    }
    if (claim.leader.incarnation !== link.leader.incarnation) {
      if (this.hasLeaderAnnounced) {
        await this.waitForLastMessages(link);
      }
      link.close(`${claim.leader.name} is the new leader`);
      return;
    }
    if (!this.canLead()) {
      return;
    }
    if (this.isLeaderLeaving && !this.isDraining) {
      await this.claimInRankOrder(claim);
    } else if (
      registry.findFallbackToken(part.id) === undefined &&
      clock.now() >= this.nextWriteAtMs
    ) {
      this.nextWriteAtMs = clock.now() + electionTiming.minWriteIntervalMs;
      if (await registry.writeOwnRecord()) {
        log.info({ token: registry.findFallbackToken(part.id) }, 'fallback fencing token obtained');
      }
    }
  }

  /** Waits until a leader that has been replaced in order has ended the link: its last messages are the most useful. */
  private async waitForLastMessages(link: LeaderLink): Promise<void> {
    const { clock } = this.options;
    const endMs = clock.now() + electionTiming.lastMessagesTimeoutMs;
    while (this.link === link && !this.isClosed && clock.now() < endMs) {
      await clock.pause(electionTiming.lastMessagesCheckMs);
    }
  }

  /**
   * Checks once whether this domain leader must stop, can rejoin the other instances, or can claim
   * the leadership of all domains.
   */
  private async advanceAsDomainLeader(claim: LeadershipClaim | undefined): Promise<void> {
    const { clock, registry, self, part } = this.options;
    if (this.wasFenced) {
      this.wasFenced = false;
      this.domainBackoffUntilMs = clock.now() + electionTiming.fencedBackoffMs;
      this.stopLeading('a server has seen a higher fencing token');
      return;
    }
    await clock.pause(electionTiming.rejoinIntervalMs);
    if (claim !== undefined && claim.leader.incarnation !== self.incarnation) {
      const view = await fetchInstanceView(
        claim.leader.address,
        part.id,
        electionTiming.viewTimeoutMs,
      );
      if (view?.heardLeader === claim.leader.incarnation) {
        this.stopLeading('the leader is reachable again');
        return;
      }
    }
    if (await registry.readNow()) {
      const current = registry.findClaim(part.id);
      if (current?.leader.incarnation !== claim?.leader.incarnation) {
        this.stopLeading('another instance has claimed the leadership');
        return;
      }
      const views = await fetchInstanceViews(this.listOtherCandidates(), part.id);
      if (!views.some(({ view }) => view?.heardLeader === claim?.leader.incarnation)) {
        await this.claimLeadership();
      }
    }
  }

  private async advanceWithoutLeader(claim: LeadershipClaim | undefined): Promise<void> {
    const { registry, self, clock } = this.options;
    if (!registry.hasBeenRead()) {
      return;
    }
    if (claim === undefined) {
      await this.claimInRankOrder(undefined);
    } else if (
      claim.leader.incarnation === self.incarnation &&
      claim.revision > this.fencedClaimRevision
    ) {
      this.startLeading(claim.revision, 'all');
    } else if (claim.leader.incarnation === self.incarnation) {
      await this.replaceFencedClaim(claim);
    } else if (claim.leader.name === self.name) {
      // The claim belongs to an earlier incarnation of this instance, which no longer runs.
      await this.claimUnlessDraining();
    } else {
      const opened = await this.openLink(claim.leader);
      if (opened !== 'up') {
        await this.handleUnreachableLeader(claim, opened);
        await clock.pause(electionTiming.retryDelayMs);
      }
    }
  }

  /** Claims the leadership again, or joins the domain, after another leader has acted beside this one. */
  private async replaceFencedClaim(claim: LeadershipClaim): Promise<void> {
    const { registry, part, clock } = this.options;
    const [views, isStoreReachable] = await Promise.all([
      fetchInstanceViews(this.listOtherCandidates(), part.id),
      registry.readNow(),
    ]);
    if (registry.findClaim(part.id)?.revision !== claim.revision) {
      return;
    }
    this.isIsolated = !isStoreReachable;
    if (isStoreReachable) {
      await this.claimUnlessDraining();
    } else {
      await this.joinOrLeadDomain(views);
    }
    await clock.pause(electionTiming.retryDelayMs);
  }

  private async handleUnreachableLeader(
    claim: LeadershipClaim,
    reason: 'not-leader' | 'refused' | 'unreachable',
  ): Promise<void> {
    const { registry, log, part } = this.options;
    if (!this.canLead()) {
      await this.options.clock.pause(electionTiming.observerRetryDelayMs);
      return;
    }
    const others = this.listOtherCandidates().filter(({ name }) => name !== claim.leader.name);
    const [views, isStoreReachable] = await Promise.all([
      fetchInstanceViews(others, part.id),
      registry.readNow(),
    ]);
    if (registry.findClaim(part.id)?.revision !== claim.revision) {
      return;
    }
    const heardBy = views.find(({ view }) => view?.heardLeader === claim.leader.incarnation);
    if (heardBy !== undefined) {
      log.warn(
        { leader: claim.leader.name, heardBy: heardBy.other.name },
        'leader unreachable from this instance but reachable from another',
      );
      return;
    }
    this.isIsolated = !isStoreReachable;
    if (isStoreReachable) {
      if (reason === 'refused' || this.changes.hasHadTimeToAnswer(this.options.clock.now())) {
        await this.claimInRankOrder(claim);
      }
    } else {
      await this.joinOrLeadDomain(views);
    }
  }

  private async joinOrLeadDomain(
    views: readonly { other: RegisteredInstance; view: InstanceView | undefined }[],
  ): Promise<void> {
    const { self, registry, clock, log, part } = this.options;
    const domainPeers = views.filter(
      ({ other, view }) => other.domain === self.domain && view !== undefined,
    );
    const domainLeader = domainPeers.find(({ view }) => view?.leadsDomain === true);
    if (domainLeader !== undefined) {
      await this.openLink(domainLeader.other);
      return;
    }
    const [best] = rankCandidates([...domainPeers.map(({ other }) => other), self], part);
    const token = registry.findFallbackToken(part.id);
    if (best?.name !== self.name || clock.now() < this.domainBackoffUntilMs || this.isDraining) {
      return;
    }
    if (token === undefined) {
      log.error({}, 'isolated without a fallback fencing token; cannot lead the failure domain');
      return;
    }
    this.startLeading(token, 'domain');
  }

  /** Lists the other instances that may lead the part. */
  private listOtherCandidates(): RegisteredInstance[] {
    const { registry, part } = this.options;
    return registry
      .listOthers()
      .filter(({ domain }) => part.domain === undefined || part.domain === domain);
  }

  /**
   * Claims the leadership after a delay for each candidate that ranks before this instance. Does
   * nothing if the claim has changed in the meantime.
   */
  private async claimInRankOrder(claim: LeadershipClaim | undefined): Promise<void> {
    const { registry, self, clock, part } = this.options;
    if (!this.canLead()) {
      return;
    }
    const candidates = this.rankCandidates().filter(({ name }) => name !== claim?.leader.name);
    const rank = candidates.findIndex(({ name }) => name === self.name);
    await clock.pause(Math.max(0, rank) * electionTiming.candidateDelayMs);
    if (registry.findClaim(part.id)?.revision === claim?.revision) {
      await this.claimUnlessDraining();
    }
  }

  private async claimUnlessDraining(): Promise<void> {
    if (!this.isDraining && !this.isClosed && this.canLead()) {
      await this.claimLeadership();
    }
  }

  private async claimLeadership(): Promise<void> {
    const beganMs = this.options.clock.now();
    const claimed = await this.options.registry.claimLeadership(this.options.part.id);
    if (claimed !== undefined && !this.isClosed) {
      this.stopLeading('this instance has claimed the leadership');
      this.startLeading(claimed.revision, 'all');
      this.claimConfirmedAtMs = beganMs;
    }
  }

  private startLeading(token: number, scope: 'all' | 'domain'): void {
    const { entry, self, log, part, clock } = this.options;
    log.warn({ part: part.id, token, scope }, 'this instance leads');
    this.nextHandoverCheckAtMs = clock.now() + electionTiming.handoverCheckIntervalMs;
    this.scope = scope;
    this.wasFenced = false;
    this.isLeaderLeaving = false;
    this.claimConfirmedAtMs = scope === 'domain' ? clock.now() : -Infinity;
    const ledger = scope === 'all' ? this.options.openCancelLedger(part.id, token) : undefined;
    const pool = this.options.openPool(
      part,
      token,
      scope,
      () => {
        this.wasFenced = true;
        this.wakeUp();
      },
      () => this.confirmClaim(),
      ledger,
    );
    const coordinator = new CancelCoordinator({
      part: part.id,
      clock,
      ledger,
      cancelInPool: (id, isKnown) => pool.cancelJob(id, isKnown),
      cancelElsewhere: (id, isKnown) => entry.cancelElsewhere(part.id, id, isKnown),
      isClaimFresh: () =>
        this.pool === pool &&
        !this.wasFenced &&
        Number.isFinite(this.claimConfirmedAtMs) &&
        !pool.hasPausedSince(this.claimConfirmedAtMs),
      confirmClaim: () => this.confirmClaim(),
    });
    this.pool = pool;
    this.cancelLedger = ledger;
    this.cancelCoordinator = coordinator;
    this.link?.close('this instance leads');
    const port = entry.buildPort(part.id);
    pool.addEntry(self.name, port);
    if (scope === 'all') {
      pool.adoptUnlistedServers(this.servers.exchangeServers(pool.listServers()));
    }
    this.recordLostLeader(self.incarnation);
    entry.setLeader(part.id, {
      isDomainOnly: scope === 'domain',
      submitJob: (submission) =>
        pool.submitJob({ ...submission, owner: self.name, callerDomain: self.domain }),
      // A pool that has just been opened has no other jobs of this instance.
      reportAllSubmitted() {},
      cancelJob: (id, request) =>
        this.cancelJob(id, request, (isKnown) =>
          port.answerCancel(id, isKnown, request.isForwarded, request.request),
        ),
      reportCancels: (ids) => pool.recordCancels(ids),
      reportDoneTasks: (tasks) => pool.recordDoneTasks(tasks),
      dropCaller: (id) => pool.dropCaller(id, self.name),
    });
  }

  private async confirmClaim(): Promise<boolean> {
    const { registry, part, self, clock } = this.options;
    const { pool } = this;
    const beganMs = clock.now();
    const isConfirmed =
      (await registry.readNow()) &&
      registry.findClaim(part.id)?.leader.incarnation === self.incarnation;
    if (isConfirmed && this.pool === pool) {
      this.claimConfirmedAtMs = beganMs;
    }
    return isConfirmed;
  }

  private stopLeading(reason: string): void {
    const { pool } = this;
    if (pool === undefined) {
      return;
    }
    const { part, log, entry } = this.options;
    log.warn({ part: part.id, scope: this.scope, reason }, 'this instance stops leading');
    this.pool = undefined;
    this.cancelCoordinator = undefined;
    this.cancelLedger?.close();
    this.cancelLedger = undefined;
    entry.setLeader(part.id, undefined);
    pool.close();
  }

  private handleLinkClosed(link: LeaderLink, reason: string, hasFailed: boolean): void {
    if (this.link !== link) {
      return;
    }
    const isLeaderLost = hasFailed && !this.hasLeaderAnnounced && !link.isDomainOnly;
    this.lostLeader = isLeaderLost ? link.leader.incarnation : undefined;
    const { part, log, entry } = this.options;
    const fields = { part: part.id, leader: link.leader.name, reason };
    if (reason === NOT_NEEDED) {
      log.debug(fields, 'link to the leader closed');
    } else {
      log.warn(fields, 'link to the leader lost');
    }
    this.link = undefined;
    entry.setLeader(part.id, undefined);
    this.wakeUp();
  }

  /** Tells the jobs of a leader that has gone without notice, once another process leads. */
  private recordLostLeader(successor: IncarnationId): void {
    const { lostLeader } = this;
    this.lostLeader = undefined;
    if (lostLeader !== undefined && lostLeader !== successor) {
      this.options.entry.recordLostLeader(this.options.part.id);
    }
  }

  private async openLink(
    leader: RegisteredInstance,
  ): Promise<'up' | 'not-leader' | 'refused' | 'unreachable'> {
    const { self, clock, entry, log, part } = this.options;
    const port = entry.buildPort(part.id);
    const silenceTimeoutMs = this.changes.computeSilenceTimeoutMs(clock.now());
    this.isLeaderLeaving = false;
    this.hasLeaderAnnounced = false;
    const link = new LeaderLink(
      part.id,
      leader,
      self,
      clock,
      port,
      silenceTimeoutMs,
      () => ({
        isIdle: !entry.hasJobsAt(part.id),
        isReportNeeded: this.options.isReportNeeded(),
      }),
      this.servers,
      (reason, hasFailed) => this.handleLinkClosed(link, reason, hasFailed),
    );
    const opened = await link.open();
    if (opened !== 'up' || this.isClosed) {
      link.close('not opened');
      log.info(
        { part: part.id, leader: leader.name, opened },
        'link to the leader could not be opened',
      );
      return opened === 'up' ? 'unreachable' : opened;
    }
    log.info({ part: part.id, leader: leader.name }, 'link to the leader open');
    this.isIsolated = false;
    this.link = link;
    this.recordLostLeader(leader.incarnation);
    entry.setLeader(part.id, link);
    return 'up';
  }
}
