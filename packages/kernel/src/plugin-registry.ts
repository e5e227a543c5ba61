import { buildInvariantError } from './build-invariant-error';

/**
 * A registry of named factories for one interface. Plug-in modules register themselves on import.
 */
export class PluginRegistry<Factory> {
  private readonly factories = new Map<string, Factory>();

  constructor(private readonly interfaceName: string) {}

  /** Registers a plug-in. Throws if the name is already registered. */
  registerPlugin(name: string, factory: Factory): void {
    if (this.factories.has(name)) {
      throw buildInvariantError('A plug-in with this name is already registered.', {
        what: this.interfaceName,
        name,
      });
    }
    this.factories.set(name, factory);
  }

  /** Finds the factory of a plug-in; undefined if the name is not registered. */
  findPlugin(name: string): Factory | undefined {
    return this.factories.get(name);
  }

  /** Lists the names of all registered plug-ins in sorted order, for messages and help texts. */
  listNames(): string[] {
    return [...this.factories.keys()].sort();
  }
}
