import type { JobEngine } from '@guavaspindle/kernel/engine/job-engine';
import { parseJobIdOfTask } from '@guavaspindle/kernel/engine/parse-job-id-of-task';
import type { InstanceName } from '@guavaspindle/kernel/ids/instance-name';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { EntryPort } from '../links/entry-port';
import type { EndDelivery } from './end-delivery';
import type { PoolOptions } from './pool-options';

/** After this time without a receipt from the owner of the job, other instances are told as well. */
const OWNER_RECEIPT_MS = 25;
/**
 * An end is acknowledged at the latest after this time: without an acknowledgement, the server answers each
 * renewal at once.
 */
const MAX_HOLD_MS = 100;
/** The same if the job is not open here: after a change of leader, instances take some time to open their links. */
const MAX_HOLD_WITHOUT_JOB_MS = 500;
/** Pause before the next renewal of a server whose ends may not be acknowledged yet. */
const HELD_RENEWAL_PAUSE_MS = 50;
/** Interval at which deliveries that are not settled are checked. */
const CHECK_INTERVAL_MS = 25;
/** Longest time between two checks that counts as held; this process was paused in the rest. */
const MAX_CHECK_INTERVAL_MS = 50;
/** Number of other instances to tell, at each check, of an end that nobody has confirmed. */
const MAX_WITNESSES = 3;

/** Tells an instance of the end of a done run; its receipt settles the delivery unless it may end with the leader. */
function reportTo({ task, toldPorts, settle }: EndDelivery, port: EntryPort): void {
  toldPorts.add(port);
  port.reportDone(parseJobIdOfTask(task), task);
  if (port.keepsDoneTasks) {
    void port.waitForReceipt().then((isReceived) => {
      if (isReceived) {
        settle();
      }
    });
  }
}

/**
 * Decides when the ends of done runs may be acknowledged. A server forgets an end that is acknowledged, so an
 * instance that outlives this leader has to know it before: the owner of the job or, if that does not answer,
 * another one, which tells the next leader.
 */
export class EndDeliveries {
  /** Deliveries whose ends the engine has not reported yet. */
  private readonly unreported = new Set<EndDelivery>();

  private readonly unsettled = new Set<EndDelivery>();

  /** Entry instances that did not confirm their last reports in time. */
  private readonly slowPorts = new WeakSet<EntryPort>();

  private isWatching = false;

  /** When the last check was made, in monotonic milliseconds. */
  private checkedAtMs: number;

  /** Called at the end of the next pass. */
  private readonly passWaiters: (() => void)[] = [];

  /**
   * @param entries - the connected entry instances
   * @param engine - finds the instance that owns the job of a task
   * @param requestPass - requests a scheduling pass, which ends with `handlePass`
   */
  constructor(
    private readonly options: Pick<PoolOptions, 'clock' | 'log'>,
    private readonly entries: ReadonlyMap<InstanceName, EntryPort>,
    private readonly engine: Pick<JobEngine, 'findOwner'>,
    private readonly requestPass: () => void,
  ) {
    this.checkedAtMs = options.clock.now();
  }

  /** Opens the delivery of the end of a done run; to be called before the engine handles the end. */
  openDelivery(task: TaskId): EndDelivery {
    let settle = (): void => {};
    const settled = new Promise<void>((resolve) => {
      settle = resolve;
    });
    const delivery: EndDelivery = {
      task,
      owner: this.engine.findOwner(task),
      readAtMs: this.options.clock.now(),
      heldMs: 0,
      toldPorts: new Set(),
      isSettled: false,
      settled,
      settle: () => {
        delivery.isSettled = true;
        this.unsettled.delete(delivery);
        settle();
      },
    };
    this.unreported.add(delivery);
    this.unsettled.add(delivery);
    if (!this.isWatching) {
      this.isWatching = true;
      void this.watchUnsettled();
    }
    return delivery;
  }

  /**
   * Resolves once all that the engine has decided so far is sent and the ends may be acknowledged, or some of them
   * after a pause.
   */
  async waitFor(deliveries: readonly EndDelivery[]): Promise<void> {
    this.requestPass();
    await new Promise<void>((resolve) => {
      this.passWaiters.push(resolve);
    });
    const open = deliveries.filter(({ isSettled }) => !isSettled);
    if (open.length > 0) {
      const settled = Promise.all(open.map((delivery) => delivery.settled));
      await Promise.race([settled, this.options.clock.pause(HELD_RENEWAL_PAUSE_MS)]);
    }
  }

  /** Follows the reports that a scheduling pass has just sent. */
  handlePass(): void {
    const reported = [...this.unreported];
    this.unreported.clear();
    reported.forEach((delivery) => {
      const port = delivery.owner === undefined ? undefined : this.entries.get(delivery.owner);
      if (port === undefined) {
        this.reportToWitnesses(delivery);
      } else {
        void this.waitForOwner(delivery, port);
        if (this.slowPorts.has(port)) {
          this.reportToWitnesses(delivery);
        }
      }
    });
    this.passWaiters.splice(0).forEach((wake) => wake());
  }

  /** Checks the deliveries until all are settled. */
  private async watchUnsettled(): Promise<void> {
    while (this.unsettled.size > 0) {
      // eslint-disable-next-line no-await-in-loop -- each check follows the one before
      await this.options.clock.pause(CHECK_INTERVAL_MS);
      this.check();
    }
    this.isWatching = false;
  }

  /** Tells other instances of the ends that are not confirmed in time, and then gives up. */
  private check(): void {
    const nowMs = this.options.clock.now();
    const { checkedAtMs } = this;
    this.checkedAtMs = nowMs;
    const unconfirmed: TaskId[] = [];
    this.unsettled.forEach((delivery) => {
      const { owner, readAtMs } = delivery;
      const elapsedMs = nowMs - Math.max(checkedAtMs, readAtMs);
      delivery.heldMs += Math.min(MAX_CHECK_INTERVAL_MS, elapsedMs);
      if (delivery.heldMs >= (owner === undefined ? MAX_HOLD_WITHOUT_JOB_MS : MAX_HOLD_MS)) {
        unconfirmed.push(delivery.task);
        delivery.settle();
      } else if (delivery.heldMs >= OWNER_RECEIPT_MS && !this.unreported.has(delivery)) {
        this.reportToWitnesses(delivery);
      }
    });
    if (unconfirmed.length > 0) {
      this.options.log.info({ tasks: unconfirmed }, 'done tasks that no instance has confirmed');
    }
  }

  /** Settles a delivery once the owner of the job has confirmed the report. */
  private async waitForOwner(delivery: EndDelivery, port: EntryPort): Promise<void> {
    const sentAtMs = this.options.clock.now();
    delivery.toldPorts.add(port);
    const isReceived = await port.waitForReceipt();
    if (!isReceived) {
      this.reportToWitnesses(delivery);
    } else {
      if (this.options.clock.now() - sentAtMs < OWNER_RECEIPT_MS) {
        this.slowPorts.delete(port);
      }
      delivery.settle();
    }
  }

  /**
   * Tells more instances that have not been told yet; one in another process that confirms settles the delivery.
   * The owner of the job is one of them if it has linked since the report.
   */
  private reportToWitnesses(delivery: EndDelivery): void {
    const { owner, toldPorts } = delivery;
    if (delivery.isSettled) {
      return;
    }
    const ownerPort = owner === undefined ? undefined : this.entries.get(owner);
    if (ownerPort !== undefined && toldPorts.has(ownerPort)) {
      this.slowPorts.add(ownerPort);
    }
    const untold = [...this.entries.values()].filter((port) => !toldPorts.has(port));
    // The leader's process may live on as an entry instance, but may also end with it.
    untold.filter((port) => !port.keepsDoneTasks).forEach((port) => reportTo(delivery, port));
    untold
      .filter((port) => port.keepsDoneTasks)
      .sort((a, b) => Number(this.slowPorts.has(a)) - Number(this.slowPorts.has(b)))
      .slice(0, MAX_WITNESSES)
      .forEach((port) => reportTo(delivery, port));
  }
}
