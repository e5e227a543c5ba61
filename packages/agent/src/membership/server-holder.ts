import type { ServerInfo } from '@guavaspindle/kernel/placement/server-info';

/** The newest instance list that this agent knows, by the platform's own index. */
export class ServerHolder {
  private version = 0n;

  private servers: readonly ServerInfo[] = [];

  /** Adopts a list if its index is higher. */
  adoptServers(version: bigint, servers: readonly ServerInfo[]): void {
    if (version > this.version) {
      this.version = version;
      this.servers = servers;
    }
  }

  /** The platform's index of the list held; 0 before the first. */
  readVersion(): bigint {
    return this.version;
  }

  /** The backend servers of the failure domain. */
  readServers(): readonly ServerInfo[] {
    return this.servers;
  }

  /** The list as a message part, if it is newer than the version given. */
  buildListAfter(version: bigint): { servers: ServerInfo[] } | undefined {
    return this.version > version ? { servers: [...this.servers] } : undefined;
  }
}
