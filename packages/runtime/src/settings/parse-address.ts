import { isIPv4 } from 'node:net';

const MAX_PORT = 65_535;

/** Returns the text if it is an IPv4 address with a port (127.0.0.1:8080), else undefined. */
export function parseAddress(text: string): string | undefined {
  const [host, port, ...rest] = text.split(':');
  if (host === undefined || port === undefined || rest.length > 0) {
    return undefined;
  }
  const isPort = /^\d{1,5}$/.test(port) && Number(port) >= 1 && Number(port) <= MAX_PORT;
  return isIPv4(host) && isPort ? text : undefined;
}
