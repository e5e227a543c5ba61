import type { Interceptor } from '@connectrpc/connect';
import type { EventRingBuffer } from '@guavaspindle/kernel/events/event-ring-buffer';
import type { LoanId } from '@guavaspindle/kernel/ids/loan-id';
import type { BorrowEffect } from '@guavaspindle/kernel/limits/borrow-effect';
import type { LimitBorrower } from '@guavaspindle/kernel/limits/limit-borrower';
import type { LoanGrant } from '@guavaspindle/kernel/limits/loan-grant';
import type { ReturnLoanEffect } from '@guavaspindle/kernel/limits/return-loan-effect';
import type { Clock } from '@guavaspindle/kernel/time/clock';
import {
  DispatcherService,
  type BorrowLimitResponse,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import { ClientPool } from '@guavaspindle/runtime/control/client-pool';
import type { PeerDirectory } from './peer-directory';

/**
 * Timeout of a request to a peer. If the response with a loan is lost, the loan ends with its term.
 */
const REQUEST_TIMEOUT_MS = 300;

/** The components that the broker uses. */
interface LimitBrokerDependencies {
  readonly borrower: LimitBorrower;
  readonly clock: Clock;
  readonly ring: EventRingBuffer;
  readonly peers: PeerDirectory;
  readonly interceptors: Interceptor[];
}

/** Converts a peer's response to a loan. Returns undefined if the peer lent nothing. */
function readGrant({ loan, amount, termMs }: BorrowLimitResponse): LoanGrant | undefined {
  if (loan === '' || amount === undefined) {
    return undefined;
  }
  const { running, perSecond } = amount;
  return { id: loan as LoanId, amount: { running, perSecond }, termMs };
}

/** Sends the kernel's loan requests and loan returns to the other dispatchers. */
export class LimitBroker {
  private readonly clients: ClientPool<typeof DispatcherService>;

  constructor(private readonly dependencies: LimitBrokerDependencies) {
    this.clients = new ClientPool(DispatcherService, dependencies.interceptors);
  }

  /** Closes the connections to the other dispatchers. */
  close(): void {
    this.clients.close();
  }

  /** Requests a loan from a peer and passes the response to the kernel. Never rejects. */
  async requestLoan(effect: BorrowEffect): Promise<void> {
    const grant = await this.sendLoanRequest(effect);
    this.dependencies.borrower.applyResponse(effect, grant, this.dependencies.clock.now());
    if (grant !== undefined && effect.request.renews === undefined) {
      const { caller, kind } = effect.request;
      const detail = { caller, kind, lender: effect.lender, ...grant.amount };
      this.dependencies.ring.recordEvent({ type: 'limit-borrowed', detail });
    }
  }

  /**
   * Returns a loan to its lender. Never rejects: if the message is lost, the lender waits until the
   * loan's term expires.
   */
  async returnLoan({ lender, loan, caller, kind }: ReturnLoanEffect): Promise<void> {
    const client = this.findClient(lender);
    await client
      ?.returnLimit({ loan, caller, kind }, { timeoutMs: REQUEST_TIMEOUT_MS })
      .catch(() => undefined);
  }

  private async sendLoanRequest({ lender, request }: BorrowEffect): Promise<LoanGrant | undefined> {
    const { caller, kind, revision, wanted, holdsNone, renews } = request;
    try {
      const response = await this.findClient(lender)?.borrowLimit(
        { caller, kind, revision: BigInt(revision), wanted, holdsNone, renews: renews ?? '' },
        { timeoutMs: REQUEST_TIMEOUT_MS },
      );
      return response && readGrant(response);
    } catch {
      return undefined;
    }
  }

  private findClient(lender: string) {
    const peer = this.dependencies.peers
      .listPeers()
      .find(({ incarnation }) => incarnation === lender);
    return peer && this.clients.getClient(peer.address);
  }
}
