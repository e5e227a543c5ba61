/** How a request ended, as its caller sees it. */
export type ExchangeResult =
  | { readonly kind: 'answered'; readonly status: number; readonly text: string }
  /**
   * The connection ended without a complete answer. `isUnread`: the server's side was closed before the
   * request arrived. `isReset`: it was closed with bytes that the process had not read, or by a reset.
   */
  | { readonly kind: 'cut'; readonly isUnread: boolean; readonly isReset: boolean }
  /** The caller has stopped waiting. */
  | { readonly kind: 'silent' }
  /** The connection could not be opened, or ended before the request was sent completely. */
  | { readonly kind: 'unsent' };
