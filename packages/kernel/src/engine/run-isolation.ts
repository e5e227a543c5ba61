/**
 * What may run on a server beside a run: `none`, anything; `apart`, no other run whose task a server
 * has crashed or fallen silent under; `alone`, nothing else is started there.
 */
export type RunIsolation = 'none' | 'apart' | 'alone';
