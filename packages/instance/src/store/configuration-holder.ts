import type Logger from 'bunyan';
import type { Configuration } from '@guavaspindle/platform-adapter/configuration/configuration';
import { parseConfiguration } from '@guavaspindle/platform-adapter/configuration/parse-configuration';
import type { StoreEvent } from '@guavaspindle/platform-adapter/store/store-event';
import type { StoreItem } from '@guavaspindle/platform-adapter/store/store-item';
import type { StoreSnapshot } from '@guavaspindle/platform-adapter/store/store-snapshot';
import { storeKeys } from '@guavaspindle/platform-adapter/store/store-keys';
import type { MirrorListener } from './mirror-listener';

/** Holds the latest configuration; an older version never replaces a newer one. */
export class ConfigurationHolder implements MirrorListener {
  private current: Configuration | undefined;

  constructor(private readonly log: Logger) {}

  /** The configuration in force; undefined until a valid one has been read. */
  findConfiguration(): Configuration | undefined {
    return this.current;
  }

  onSnapshot({ items }: StoreSnapshot): void {
    items.forEach((item) => this.applyItem(item));
  }

  onEvents(events: readonly StoreEvent[]): void {
    events.forEach((event) => {
      if (event.kind === 'written') {
        this.applyItem(event.item);
      }
    });
  }

  private applyItem({ key, text, revision }: StoreItem): void {
    if (key !== storeKeys.configuration) {
      return;
    }
    const parsed = parseConfiguration(text);
    if (parsed.isErr()) {
      this.log.error(
        { revision, problem: parsed.error },
        'ignoring an invalid configuration in the store',
      );
      return;
    }
    const version = this.current?.version;
    if (version !== undefined && parsed.value.version <= version) {
      return;
    }
    this.current = parsed.value;
    this.log.info({ version: parsed.value.version, revision }, 'configuration in force');
  }
}
