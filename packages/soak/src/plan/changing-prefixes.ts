/** Prefixes of the routes that the operator adds and removes. */
export const changingPrefixes = ['/q2/', '/q3/'] as const;
