import type { IncarnationId } from '@guavaspindle/kernel/ids/incarnation-id';
import { rankNodes } from '@guavaspindle/kernel/placement/rank-nodes';
import { Role, type Member } from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';

/** The dispatchers that this gateway knows of, as its agent last listed them. */
export class DispatcherDirectory {
  private dispatchers: readonly Member[] = [];

  private roundRobinIndex = 0;

  /** Adopts the agent's list of members. */
  replaceMembers(members: readonly Member[]): void {
    this.dispatchers = members.filter((member) => member.role === Role.DISPATCHER);
  }

  /** Finds the dispatcher that a ticket or job id names. */
  findOwner(incarnation: IncarnationId): Member | undefined {
    return this.dispatchers.find((member) => member.incarnation === incarnation);
  }

  /** Lists the dispatchers of a failure domain that take work, in turn. */
  listRoundRobin(domain: string): Member[] {
    const available = this.listAvailable(domain);
    this.roundRobinIndex += 1;
    const startIndex = this.roundRobinIndex % Math.max(1, available.length);
    return [...available.slice(startIndex), ...available.slice(0, startIndex)];
  }

  /** Lists the dispatchers of a failure domain, the one responsible for a key first. */
  listForKey(domain: string, key: string): Member[] {
    const available = this.listAvailable(domain);
    const ranked = rankNodes(
      key,
      available.map((member) => member.incarnation),
    );
    return ranked.map((incarnation) =>
      available.find((member) => member.incarnation === incarnation)!,
    );
  }

  /** Counts the dispatchers of a failure domain that take work. */
  countAvailable(domain: string): number {
    return this.listAvailable(domain).length;
  }

  /** Control addresses of all known dispatchers. */
  collectAddresses(): Set<string> {
    return new Set(this.dispatchers.map((member) => member.address));
  }

  private listAvailable(domain: string): Member[] {
    return this.dispatchers.filter(
      (member) => member.domain === domain && member.ready && !member.draining,
    );
  }
}
