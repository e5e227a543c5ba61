import { buildInvariantError } from './build-invariant-error';

/** Named factories of one interface. Plug-in modules register themselves when imported. */
export class PluginRegistry<Factory> {
  private readonly factories = new Map<string, Factory>();

  constructor(private readonly interfaceName: string) {}

  /** Registers a plug-in under a name that must be free. */
  registerPlugin(name: string, factory: Factory): void {
    if (this.factories.has(name)) {
      throw buildInvariantError('A plug-in is registered twice.', {
        what: this.interfaceName,
        name,
      });
    }
    this.factories.set(name, factory);
  }

  /** Finds a plug-in's factory. */
  findPlugin(name: string): Factory | undefined {
    return this.factories.get(name);
  }

  /** Names of all registered plug-ins, for messages and help. */
  listNames(): string[] {
    return [...this.factories.keys()].sort();
  }
}
