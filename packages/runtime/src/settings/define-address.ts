import { defineField } from './define-field';
import { parseAddress } from './parse-address';

/** Defines a setting that is an IPv4 address with a port. */
export function defineAddress(about: string) {
  return defineField(
    { form: 'an IP number and a port, such as 127.0.0.1:8080', about },
    parseAddress,
  );
}
