import type { EngineServer } from './engine-server';

/** Where a task starts now, or that it waits although it could start, or that it fits nowhere now. */
export type PlaceChoice =
  | { readonly kind: 'start'; readonly server: EngineServer }
  | { readonly kind: 'wait' }
  | { readonly kind: 'none' };
