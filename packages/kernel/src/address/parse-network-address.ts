import type { NetworkAddress } from './network-address';

const MAX_PORT = 65_535;
/** A host name or IPv4 address, or an IPv6 address in brackets; then the port. */
const PATTERN = /^(?:[a-z0-9](?:[a-z0-9._-]*[a-z0-9])?|\[[0-9a-f:.]+\]):(\d{1,5})$/i;

/** Returns the text as an address if a connection can be opened to it, else undefined. */
export function parseNetworkAddress(text: string): NetworkAddress | undefined {
  const port = Number(PATTERN.exec(text)?.[1] ?? 0);
  // The URL parser also checks the numbers of IP addresses.
  const isValid = port >= 1 && port <= MAX_PORT && URL.canParse(`http://${text}`);
  return isValid ? (text as NetworkAddress) : undefined;
}
