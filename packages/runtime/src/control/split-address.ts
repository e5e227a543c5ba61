/** A host and port apart, as Node's listen takes them. */
interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Splits a checked address such as 127.0.0.1:8080. */
export function splitAddress(address: string): HostPort {
  const [host, port] = address.split(':');
  return { host: host!, port: Number(port) };
}
