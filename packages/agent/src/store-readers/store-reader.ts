import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { InstanceList } from '@guavaspindle/platform/instances/instance-list';
import type { KeyValueStore } from '@guavaspindle/platform/store/key-value-store';
import type Logger from 'bunyan';
import type { Membership } from '../membership/membership';
import type { ServerHolder } from '../membership/server-holder';
import type { TableHolder } from '../table/table-holder';
import { TABLE_KEY } from '../table/table-key';

/** A watch waits this long for a change. */
const WATCH_WAIT_MS = 5_000;
/** Pause after a failed watch. */
const FAILURE_PAUSE_MS = 250;
/** Pause of an agent that leaves the reading to better-ranked peers. */
const IDLE_PAUSE_MS = 500;

/** What the reader works with. */
interface StoreReaderParts {
  readonly clock: Clock;
  readonly store: KeyValueStore;
  readonly instances: InstanceList;
  readonly membership: Membership;
  readonly table: TableHolder;
  readonly servers: ServerHolder;
  readonly log: Logger;
}

/** Watches the table and the instance list in the platform while this agent is a reader. */
export class StoreReader {
  private isStopped = false;

  private tableIndex = 0;

  private listIndex = 0;

  constructor(private readonly parts: StoreReaderParts) {}

  /** Starts both watches. */
  start(): void {
    void this.repeatWhileReader(() => this.watchTable());
    void this.repeatWhileReader(() => this.watchInstances());
  }

  /** Ends both watches after the current ones return. */
  stop(): void {
    this.isStopped = true;
  }

  private async repeatWhileReader(watch: () => Promise<boolean>): Promise<void> {
    while (!this.isStopped) {
      if (this.parts.membership.isStoreReader()) {
        // eslint-disable-next-line no-await-in-loop -- one watch after the other
        const isOk = await watch();
        if (!isOk) {
          // eslint-disable-next-line no-await-in-loop -- lets a failing platform rest
          await this.parts.clock.pause(FAILURE_PAUSE_MS);
        }
      } else {
        this.parts.membership.setReadsStore(false);
        // eslint-disable-next-line no-await-in-loop -- looks again later
        await this.parts.clock.pause(IDLE_PAUSE_MS);
      }
    }
  }

  private async watchTable(): Promise<boolean> {
    const { store, table, membership, log } = this.parts;
    const watched = await store.watchValue(TABLE_KEY, this.tableIndex, WATCH_WAIT_MS);
    membership.setReadsStore(watched.isOk());
    if (watched.isErr()) {
      log.debug({ reason: watched.error.detail }, 'the table cannot be watched');
      return false;
    }
    const { value, index } = watched.value;
    // An index that falls back means that the store was restored: begin anew, as its rules say.
    this.tableIndex = index < this.tableIndex ? 0 : index;
    if (value === undefined) {
      return true;
    }
    const problem = table.adoptText(value.text);
    if (problem !== undefined) {
      log.error({ problem }, 'the stored table is not valid and was not adopted');
      return false;
    }
    return true;
  }

  private async watchInstances(): Promise<boolean> {
    const { instances, servers, log } = this.parts;
    const watched = await instances.watchServers(this.listIndex, WATCH_WAIT_MS);
    if (watched.isErr()) {
      log.debug({ reason: watched.error.detail }, 'the instance list cannot be watched');
      return false;
    }
    const { index, servers: listed } = watched.value;
    this.listIndex = index < this.listIndex ? 0 : index;
    servers.adoptServers(BigInt(index), listed);
    return true;
  }
}
