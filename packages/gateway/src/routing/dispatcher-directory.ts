import type { IncarnationId } from '@guavaspindle/kernel/ids/incarnation-id';
import { rankNodes } from '@guavaspindle/kernel/placement/rank-nodes';
import { Role, type Member } from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';

/** The dispatchers that this gateway knows of, as its agent last listed them. */
export class DispatcherDirectory {
  private dispatchers: readonly Member[] = [];

  private nextTurn = 0;

  /** Adopts the agent's list of members. */
  adoptMembers(members: readonly Member[]): void {
    this.dispatchers = members.filter((member) => member.role === Role.DISPATCHER);
  }

  /** Finds the dispatcher that a ticket or job id names. */
  findOwner(incarnation: IncarnationId): Member | undefined {
    return this.dispatchers.find((member) => member.incarnation === incarnation);
  }

  /** Lists the dispatchers of a failure domain that take work, in turn. */
  listInTurn(domain: string): Member[] {
    const open = this.listOpen(domain);
    this.nextTurn += 1;
    const first = this.nextTurn % Math.max(1, open.length);
    return [...open.slice(first), ...open.slice(0, first)];
  }

  /** Lists the dispatchers of a failure domain, the one responsible for a key first. */
  listForKey(domain: string, key: string): Member[] {
    const open = this.listOpen(domain);
    const ranked = rankNodes(
      key,
      open.map((member) => member.incarnation),
    );
    return ranked.map((incarnation) => open.find((member) => member.incarnation === incarnation)!);
  }

  /** Counts the dispatchers of a failure domain that take work. */
  countOpen(domain: string): number {
    return this.listOpen(domain).length;
  }

  /** Control addresses of all known dispatchers. */
  collectAddresses(): Set<string> {
    return new Set(this.dispatchers.map((member) => member.address));
  }

  private listOpen(domain: string): Member[] {
    return this.dispatchers.filter(
      (member) => member.domain === domain && member.ready && !member.draining,
    );
  }
}
