import type Logger from 'bunyan';
import type { StoreEvent } from '@guavaspindle/platform-adapter/store/store-event';
import type { StoreSnapshot } from '@guavaspindle/platform-adapter/store/store-snapshot';
import { runIsolated } from '../process/run-isolated';
import type { MirrorListener } from './mirror-listener';

/** Passes what operators write to several listeners; an error of one does not keep it from the others. */
export class OperatorListener implements MirrorListener {
  constructor(
    private readonly listeners: readonly MirrorListener[],
    private readonly log: Logger,
  ) {}

  onSnapshot(snapshot: StoreSnapshot): void {
    const { revision } = snapshot;
    this.listeners.forEach((listener) =>
      runIsolated(this.log, { revision }, () => listener.onSnapshot(snapshot)),
    );
  }

  onEvents(events: readonly StoreEvent[]): void {
    this.listeners.forEach((listener) =>
      runIsolated(this.log, { events: events.length }, () => listener.onEvents(events)),
    );
  }
}
