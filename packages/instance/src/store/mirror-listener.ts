import type { StoreEvent } from '@guavaspindle/platform-adapter/store/store-event';
import type { StoreSnapshot } from '@guavaspindle/platform-adapter/store/store-snapshot';

/** Takes in what a mirror reads. */
export interface MirrorListener {
  /** All keys, at the start and whenever changes may have been missed. */
  onSnapshot(snapshot: StoreSnapshot): void;
  onEvents(events: readonly StoreEvent[]): void;
}
