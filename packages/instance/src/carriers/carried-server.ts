import type { MessageInitShape } from '@bufbuild/protobuf';
import type { ServerReport } from '@guavaspindle/kernel/engine/server-report';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import type { OrderAnswer } from '@guavaspindle/platform-adapter/servers/order-answer';
import type { Renewal } from '@guavaspindle/platform-adapter/servers/renewal';
import type { ServerPort } from '@guavaspindle/platform-adapter/servers/server-port';
import type { ServerState } from '@guavaspindle/platform-adapter/servers/server-state';
import type { StartOrder } from '@guavaspindle/platform-adapter/servers/start-order';
import type {
  ServerAnswer,
  ServerOrderSchema,
} from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';
import type { CarrierDirectory } from './carrier-directory';
import { decodeOrderAnswer } from './decode-order-answer';
import { decodeServerState } from './decode-server-state';

/** A carrier gives an order up by itself; the leader waits this much longer, for the link. */
const CARRIER_SLACK_MS = 500;
/** After an order that got no answer through its carrier the server is asked directly for so long. */
const DIRECT_MS = 5_000;

type EncodedOrder = NonNullable<MessageInitShape<typeof ServerOrderSchema>['order']>;

const NO_CARRIER_ANSWER = 'no answer from the carrier';

/**
 * A backend server that orders reach through another instance, so that the calls over HTTP do not
 * load the leader's processor; directly where no carrier is there or it gets no answer.
 */
export class CarriedServer implements ServerPort {
  private direct: ServerPort | undefined;

  private directUntilMs = -Infinity;

  private isClosed = false;

  constructor(
    private readonly report: ServerReport,
    private readonly carriers: CarrierDirectory,
    private readonly openDirect: () => ServerPort,
    private readonly clock: Clock,
  ) {}

  async startRun(start: StartOrder): Promise<OrderAnswer> {
    const answer = this.sendOrder({ case: 'start', value: start }, 0);
    return answer === undefined
      ? this.findDirect().startRun(start)
      : this.settleOrder(await answer);
  }

  async stopRun(task: TaskId, run: number, fencingToken: number): Promise<OrderAnswer> {
    const answer = this.sendOrder({ case: 'stop', value: { task, run, fencingToken } }, 0);
    return answer === undefined
      ? this.findDirect().stopRun(task, run, fencingToken)
      : this.settleOrder(await answer);
  }

  async renewLeases(renewal: Renewal): Promise<ServerState> {
    const answer = this.sendOrder({ case: 'renew', value: renewal }, renewal.waitMs);
    if (answer === undefined) {
      return this.findDirect().renewLeases(renewal);
    }
    const settled = await answer;
    const state: ServerState =
      settled === undefined
        ? { kind: 'no-answer', reason: NO_CARRIER_ANSWER, isRefused: false }
        : decodeServerState(settled);
    this.recordAnswer(state.kind);
    return state;
  }

  close(): void {
    this.isClosed = true;
    this.direct?.close();
  }

  /** Hands an order to the server's carrier; undefined if it is to go directly. */
  private sendOrder(
    order: EncodedOrder,
    waitMs: number,
  ): Promise<ServerAnswer | undefined> | undefined {
    if (this.clock.now() < this.directUntilMs) {
      return undefined;
    }
    const { id, address } = this.report;
    return this.carriers
      .findCarrier(this.report)
      ?.sendOrder({ serverId: id, address, order }, waitMs + CARRIER_SLACK_MS);
  }

  private settleOrder(settled: ServerAnswer | undefined): OrderAnswer {
    const answer: OrderAnswer =
      settled === undefined
        ? { kind: 'no-answer', reason: NO_CARRIER_ANSWER }
        : decodeOrderAnswer(settled);
    this.recordAnswer(answer.kind);
    return answer;
  }

  private recordAnswer(kind: OrderAnswer['kind'] | ServerState['kind']): void {
    if (kind === 'no-answer' || kind === 'not-sent') {
      this.directUntilMs = this.clock.now() + DIRECT_MS;
    }
  }

  private findDirect(): ServerPort {
    if (this.direct === undefined) {
      this.direct = this.openDirect();
      if (this.isClosed) {
        this.direct.close();
      }
    }
    return this.direct;
  }
}
