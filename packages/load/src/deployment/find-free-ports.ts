import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';

/** Finds ports of a loopback address that are free now, all different. */
export async function findFreePorts(host: string, count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, host));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map((server) => {
      server.close();
      return once(server, 'close');
    }),
  );
  return ports;
}
