import type { IncarnationId } from '@guavaspindle/kernel/ids/incarnation-id';
import { rankNodes } from '@guavaspindle/kernel/placement/rank-nodes';
import { Role, type Member } from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';

/** The dispatchers in the agent's most recent member list. */
export class DispatcherDirectory {
  private dispatchers: readonly Member[] = [];

  private roundRobinIndex = 0;

  /** Replaces the known dispatchers with those in the agent's member list. */
  replaceMembers(members: readonly Member[]): void {
    this.dispatchers = members.filter((member) => member.role === Role.DISPATCHER);
  }

  /** Finds the dispatcher by the incarnation that a ticket or job id names. */
  findOwner(incarnation: IncarnationId): Member | undefined {
    return this.dispatchers.find((member) => member.incarnation === incarnation);
  }

  /**
   * Lists the dispatchers of a failure domain that accept work. Each call starts at the next one
   * (round robin).
   */
  listRoundRobin(domain: string): Member[] {
    const available = this.listAvailable(domain);
    this.roundRobinIndex += 1;
    const startIndex = this.roundRobinIndex % Math.max(1, available.length);
    return [...available.slice(startIndex), ...available.slice(0, startIndex)];
  }

  /**
   * Lists the dispatchers of a failure domain that accept work, ranked for a key. The first one is
   * responsible for the key.
   */
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

  /** Counts the dispatchers of a failure domain that accept work. */
  countAvailable(domain: string): number {
    return this.listAvailable(domain).length;
  }

  /** Returns the control addresses of all known dispatchers. */
  collectAddresses(): Set<string> {
    return new Set(this.dispatchers.map((member) => member.address));
  }

  private listAvailable(domain: string): Member[] {
    return this.dispatchers.filter(
      (member) => member.domain === domain && member.ready && !member.draining,
    );
  }
}
