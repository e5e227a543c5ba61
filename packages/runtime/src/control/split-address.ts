/** Host and port as separate values, as Node's `listen` expects them. */
interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Splits a valid address such as 127.0.0.1:8080 into host and port. */
export function splitAddress(address: string): HostPort {
  const [host, port] = address.split(':');
  return { host: host!, port: Number(port) };
}
