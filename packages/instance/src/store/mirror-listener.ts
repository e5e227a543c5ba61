import type { StoreEvent } from '@guavaspindle/platform-adapter/store/store-event';
import type { StoreSnapshot } from '@guavaspindle/platform-adapter/store/store-snapshot';

/** Receives what a mirror reads from the store. */
export interface MirrorListener {
  /** Called with all keys, at the start and whenever changes may have been missed. */
  onSnapshot(snapshot: StoreSnapshot): void;
  onEvents(events: readonly StoreEvent[]): void;
}
