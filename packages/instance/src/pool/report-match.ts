/* eslint-disable no-await-in-loop -- the report is compared again after each pause */
import type Logger from 'bunyan';
import type { EngineServer } from '@guavaspindle/kernel/engine/engine-server';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { ReportKnowledge } from './report-knowledge';

/** Pause between two comparisons while the report names another life than the one that answers. */
const CHECK_PAUSE_MS = 250;
/** Entries that are known as of an earlier time than this are not followed: the store does not answer. */
const MAX_KNOWLEDGE_AGE_MS = 3_000;
/** The store removes an entry that its server has not written for so many heartbeat intervals. */
const ENTRY_LIFETIME_HEARTBEATS = 3;
/**
 * Time allowed for an entry to be written anew after an outage of the store (2 s), for a removed one to be dropped
 * (2.5 s), and for the watch.
 */
const SETTLING_MS = 6_000;

interface ReportMatchOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Undefined if the entries are not followed; then no report of another life is ever used. */
  readonly knowledge: ReportKnowledge | undefined;
  /** Called when the report is used from now on. */
  onConfirmed(): void;
}

/**
 * Compares the life that a server's report names with the one that answers. The capacity and the labels of an
 * earlier life say nothing about a later one, so nothing starts until the two agree (`EngineServer.canStart`).
 * A report that still names another life when an entry of an earlier one would have left the store is used all
 * the same: the server that answers writes it.
 */
export class ReportMatch {
  private isWaiting = false;

  private isClosed = false;

  constructor(
    private readonly server: EngineServer,
    private readonly options: ReportMatchOptions,
  ) {}

  /** Waits, if the report names another life than the one that answers, until they agree; never rejects. */
  async waitForMatch(): Promise<void> {
    if (this.isWaiting || !this.server.hasForeignReport()) {
      return;
    }
    this.isWaiting = true;
    const { clock, log, onConfirmed } = this.options;
    const { id } = this.server.report;
    log.info({ server: id, ...this.readLives() }, 'the entry of the server names another life');
    let { bornMs, lifeStartedAtMs } = this.readLives();
    let sinceMs = clock.now();
    while (!this.isClosed && this.server.hasForeignReport()) {
      await clock.pause(CHECK_PAUSE_MS);
      const lives = this.readLives();
      const areSame = lives.bornMs === bornMs && lives.lifeStartedAtMs === lifeStartedAtMs;
      if (!areSame || !this.isKnowledgeRecent()) {
        ({ bornMs, lifeStartedAtMs } = lives);
        sinceMs = clock.now();
      } else if (clock.now() - sinceMs >= this.computeConfirmationMs()) {
        log.warn({ server: id, ...lives }, 'using an entry that goes on to name another life');
        this.server.confirmReport();
        onConfirmed();
      }
    }
    this.isWaiting = false;
  }

  /** Compares no more. */
  close(): void {
    this.isClosed = true;
  }

  private readLives(): { readonly bornMs: number; readonly lifeStartedAtMs: number } {
    const { report, lifeStartedAtMs } = this.server;
    return { bornMs: report.bornMs, lifeStartedAtMs };
  }

  private isKnowledgeRecent(): boolean {
    const { clock, knowledge } = this.options;
    return (
      knowledge !== undefined && clock.now() - knowledge.findKnownAsOfMs() <= MAX_KNOWLEDGE_AGE_MS
    );
  }

  private computeConfirmationMs(): number {
    return (this.options.knowledge?.heartbeatMs ?? 0) * ENTRY_LIFETIME_HEARTBEATS + SETTLING_MS;
  }
}
