import type { ProxyMode } from '@guavaspindle/platform-adapter/stand-ins/proxy-mode';
import type { PlannedWork } from './planned-work';
import type { ServerRestart } from './server-restart';

/** A fault that is injected from outside, or planned work. */
export type SoakFault =
  | PlannedWork
  /** The process stands still, then goes on. */
  | { readonly kind: 'pause'; readonly instance: number }
  /** The process is killed and starts again when the fault ends. */
  | { readonly kind: 'kill'; readonly instance: number }
  /** The path of one instance to the store. */
  | { readonly kind: 'store-path'; readonly instance: number; readonly mode: ProxyMode }
  /** The path of all instances to one backend server. */
  | { readonly kind: 'server-path'; readonly server: number; readonly mode: ProxyMode }
  /** Backend servers crash in series and are soon back under their ids. */
  | { readonly kind: 'server-restart'; readonly restarts: readonly ServerRestart[] }
  /** Answers of the backend servers overtake each other on different connections. */
  | { readonly kind: 'overtaking' }
  /** The store carries writes out and does not answer them. */
  | { readonly kind: 'store-answers' }
  /** The server carries out a few starts and does not answer them. */
  | { readonly kind: 'start-answers'; readonly server: number }
  /** Another writer leaves a text among the servers' entries, or over the entry of a server. */
  | { readonly kind: 'odd-entry'; readonly server: number | undefined; readonly text: string };
