import { defineField } from './define-field';
import { parseAddress } from './parse-address';

/** Defines a setting that is a list of IPv4 addresses with ports; the list may be empty. */
export function defineAddresses(about: string, fallback?: string) {
  const form = 'IP numbers with ports, separated by commas, such as 127.0.0.1:1, 127.0.0.1:2';
  return defineField({ form, about, ...(fallback === undefined ? {} : { fallback }) }, (text) => {
    const parts = text === '' ? [] : text.split(',').map((part) => part.trim());
    const addresses = parts.map(parseAddress);
    return addresses.every((address): address is string => address !== undefined)
      ? addresses
      : undefined;
  });
}
