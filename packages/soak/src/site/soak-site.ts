import { mkdtempSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { DeployedProcess } from '@guavaspindle/load/deployment/deployed-process';
import { InstanceRegistry } from '@guavaspindle/instance/registry/instance-registry';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import { buildConfigurationText } from '@guavaspindle/platform-adapter/stand-ins/build-configuration-text';
import { buildServerEntry } from '@guavaspindle/platform-adapter/stand-ins/build-server-entry';
import { buildSettingsText } from '@guavaspindle/platform-adapter/stand-ins/build-settings-text';
import { StoreStandIn } from '@guavaspindle/platform-adapter/stand-ins/store-stand-in';
import { storeKeys } from '@guavaspindle/platform-adapter/store/store-keys';
import { BackendServerStandIn } from '@guavaspindle/platform-adapter/stand-ins/backend-server-stand-in';
import type { ProxyMode } from '@guavaspindle/platform-adapter/stand-ins/proxy-mode';
import { FaultProxy } from '@guavaspindle/platform-adapter/stand-ins/fault-proxy';
import type { AnswerBook } from '../checks/answer-book';
import type { PromiseBook } from '../checks/promise-book';
import type { SoakFault } from '../plan/soak-fault';
import type { SoakOptions } from '../plan/soak-options';
import { beginOvertaking } from './begin-overtaking';
import { beginServerRestarts } from './begin-server-restarts';

/** The built binary; the folder is the same from `src` and from `dist`. */
const INSTANCE = resolve(__dirname, '../../../instance/dist/bin/instance.js');
const DOMAINS = ['oviedo', 'santander', 'gijon'];
const CALLERS_PORT = 7_301;
const READINESS_PORT = 7_302;
const PEER_PORT = 7_303;
/** Time from a kill of all instances to their restart. */
const RESTART_DELAY_MS = 500;
/** The platform kills a process so long after it has asked it to shut down. */
const GRACE_MS = 6_000;
/** The part of all servers; a layout of several parts is written for large fleets only. */
const WHOLE_POOL = 'all' as PartId;
/** Starts whose answers a server loses in one fault. */
const LOST_STARTS = 4;
/** Key of an odd entry that is not a server's own. */
const ODD_KEY = `${storeKeys.serversPrefix}odd`;
/** What a process logs that ends by itself. */
const CRASH_LINE = 'uncaught exception; the process stops';

/** Work that excuses no request without an answer. */
const PLANNED_KINDS: readonly SoakFault['kind'][] = ['shutdown', 'hang-up', 'configuration'];

/** Builds the key of a server's own entry. */
function buildEntryKey(server: number): string {
  return `${storeKeys.serversPrefix}i-${server}`;
}

/** Splits host:port. */
function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const [host, port] = address.split(':');
  return { host: host!, port: Number(port) };
}

/** Opens a proxy in front of an address; returns the proxy and its own address. */
async function openProxy(
  address: string,
): Promise<{ readonly proxy: FaultProxy; readonly proxied: string }> {
  const { host, port } = splitAddress(address);
  const proxy = new FaultProxy(host, port);
  return { proxy, proxied: await proxy.listen() };
}

/** Disturbs a path; returns what takes it back. */
function changePath(proxy: FaultProxy, mode: ProxyMode): () => void {
  proxy.setMode(mode);
  return () => proxy.setMode('pass');
}

/** A fault that acts on the instances or on what they speak to. */
type SiteFault = Exclude<SoakFault, { readonly kind: 'burst' }>;

/** Stand-ins, proxies and instances of one soak run. */
export class SoakSite {
  /** Where callers reach the instances. */
  readonly callerAddresses: readonly string[];

  /** Where the platform asks whether they are ready. */
  readonly readinessAddresses: readonly string[];

  /** Log lines of the instances, and their settings. */
  readonly folder = mkdtempSync(join(tmpdir(), 'guavaspindle-soak-'));

  private readonly store = new StoreStandIn();

  private readonly servers: BackendServerStandIn[] = [];

  private readonly serverPaths: FaultProxy[] = [];

  /** The servers' own entries in the store, by key. */
  private readonly entryTexts = new Map<string, string>();

  private readonly storePaths: FaultProxy[] = [];

  private readonly instances: DeployedProcess[] = [];

  /** Ids of the processes that have been asked to shut down. */
  private readonly leaving = new Set<number>();

  private isClosing = false;

  constructor(
    private readonly options: SoakOptions,
    private readonly book: PromiseBook,
    private readonly answers: AnswerBook,
  ) {
    const ips = Array.from({ length: options.instances }, (_unused, index) => this.findIp(index));
    this.callerAddresses = ips.map((ip) => `${ip}:${CALLERS_PORT}`);
    this.readinessAddresses = ips.map((ip) => `${ip}:${READINESS_PORT}`);
  }

  /** Starts everything. */
  async open(): Promise<void> {
    const storeAddress = await this.store.listen();
    this.store.writeText(storeKeys.configuration, buildConfigurationText(1));
    for (let index = 0; index < this.options.servers; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- one port after the other
      await this.openServer(index);
    }
    for (let index = 0; index < this.options.instances; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- one port after the other
      const { proxy, proxied } = await openProxy(storeAddress);
      this.storePaths.push(proxy);
      this.instances.push(this.startInstance(index, proxied));
    }
  }

  /** Injects a fault and takes it back when its time is over. */
  applyFault(fault: SiteFault, forMs: number): void {
    if (!PLANNED_KINDS.includes(fault.kind)) {
      this.answers.addFault(performance.now(), performance.now() + forMs);
    }
    const undo = this.beginFault(fault);
    setTimeout(() => {
      if (!this.isClosing) {
        undo();
      }
    }, forMs);
  }

  /** Lists the instances that ended by themselves. */
  listCrashes(): string[] {
    return this.instances.flatMap((_instance, index) => {
      const log = readFileSync(join(this.folder, `soak-${index}.log`), 'utf8');
      return log.includes(CRASH_LINE) ? [`instance ${index} ended by itself`] : [];
    });
  }

  /** Kills all instances at once and starts them again a little later. */
  killAll(): void {
    this.answers.addFault(performance.now(), performance.now() + RESTART_DELAY_MS);
    this.instances.forEach((instance) => {
      void instance.kill().then(() => {
        setTimeout(() => this.restartInstance(instance), RESTART_DELAY_MS);
      });
    });
  }

  /** Ends all processes that this site has started, and the stand-ins. */
  async close(): Promise<void> {
    this.isClosing = true;
    await Promise.all(this.instances.map((instance) => instance.kill()));
    [...this.storePaths, ...this.serverPaths].forEach((proxy) => proxy.close());
    this.servers.forEach((server) => server.close());
    this.store.close();
  }

  private async openServer(index: number): Promise<void> {
    const key = buildEntryKey(index);
    const zone = DOMAINS[index % DOMAINS.length];
    const register = (address: string, born: number): void => {
      const text = buildServerEntry(address, { zone, born });
      this.entryTexts.set(key, text);
      this.store.writeText(key, text);
    };
    let address = '';
    const server = new BackendServerStandIn(this.book.observeServer(index), (bornMs) =>
      register(address, bornMs),
    );
    const { proxy, proxied } = await openProxy(await server.listen());
    address = proxied;
    this.servers.push(server);
    this.serverPaths.push(proxy);
    register(address, server.startedAtMs);
  }

  /** Returns what takes the fault back. */
  private beginFault(fault: SiteFault): () => void {
    switch (fault.kind) {
      case 'pause': {
        const instance = this.instances[fault.instance]!;
        instance.sendSignal('SIGSTOP');
        return () => instance.sendSignal('SIGCONT');
      }
      case 'kill': {
        const instance = this.instances[fault.instance]!;
        const ended = instance.kill();
        return () => {
          void ended.then(() => this.restartInstance(instance));
        };
      }
      case 'shutdown': {
        const first = fault.fromLeader === true ? this.findLeader() : 0;
        const index = (first + fault.instance) % this.instances.length;
        const isLeaving = this.leaving.has(this.instances[index]!.pid);
        return isLeaving && fault.onlyOnce === true
          ? () => {}
          : this.beginShutdown(index, fault.againMs);
      }
      case 'hang-up':
        this.sendPlannedSignal(fault.instance, 'SIGHUP');
        return () => {};
      case 'configuration':
        this.answers.addPlanned(performance.now(), 'configuration');
        this.store.writeText(storeKeys.configuration, fault.text);
        return () => {};
      case 'store-path':
        return changePath(this.storePaths[fault.instance]!, fault.mode);
      case 'server-path':
        return changePath(this.serverPaths[fault.server]!, fault.mode);
      case 'server-restart':
        return beginServerRestarts(this.servers, fault.restarts);
      case 'overtaking':
        return beginOvertaking(this.serverPaths);
      case 'store-answers':
        this.store.faults.losesAnswers = true;
        return () => {
          this.store.faults.losesAnswers = false;
        };
      case 'start-answers':
        this.servers[fault.server]!.faults.startAnswersToLose += LOST_STARTS;
        return () => {
          this.servers[fault.server]!.faults.startAnswersToLose = 0;
        };
      case 'odd-entry': {
        const key = fault.server === undefined ? ODD_KEY : buildEntryKey(fault.server);
        this.store.writeText(key, fault.text);
        return () => {
          const text = this.entryTexts.get(key);
          if (text === undefined) {
            this.store.deleteKey(key);
          } else {
            this.store.writeText(key, text);
          }
        };
      }
      default:
        return fault satisfies never;
    }
  }

  private sendPlannedSignal(index: number, signal: 'SIGTERM' | 'SIGHUP'): void {
    this.answers.addPlanned(performance.now(), signal, this.callerAddresses[index]);
    const instance = this.instances[index]!;
    if (signal === 'SIGTERM') {
      this.leaving.add(instance.pid);
    }
    instance.sendSignal(signal);
  }

  /** Asks a process to shut down, perhaps twice, and kills it when its time is over. */
  private beginShutdown(index: number, againMs: number | undefined): () => void {
    const instance = this.instances[index]!;
    this.sendPlannedSignal(index, 'SIGTERM');
    const timers = [setTimeout(() => instance.sendSignal('SIGKILL'), GRACE_MS)];
    if (againMs !== undefined) {
      timers.push(setTimeout(() => this.sendPlannedSignal(index, 'SIGTERM'), againMs));
    }
    const ended = instance.waitForExit().then(() => {
      timers.forEach((timer) => clearTimeout(timer));
    });
    return () => {
      void ended.then(() => this.restartInstance(instance));
    };
  }

  /** Finds the instance that has claimed the leadership last. */
  private findLeader(): number {
    const claim = this.store.findText(InstanceRegistry.buildClaimKey(WHOLE_POOL)) ?? '{}';
    const { name } = JSON.parse(claim) as { readonly name?: string };
    return Number(/^soak-(\d+)$/.exec(name ?? '')?.[1] ?? 0);
  }

  /** Starts an instance again, unless an overlapping fault has done so. */
  private restartInstance(instance: DeployedProcess): void {
    if (!this.isClosing && instance.hasEnded) {
      instance.restart();
    }
  }

  private startInstance(index: number, storeAddress: string): DeployedProcess {
    const name = `soak-${index}`;
    const settings = join(this.folder, `${name}.toml`);
    writeFileSync(
      settings,
      buildSettingsText({
        name,
        domain: DOMAINS[index % DOMAINS.length]!,
        ip: this.findIp(index),
        storeAddress,
        callersPort: CALLERS_PORT,
        readinessPort: READINESS_PORT,
        peerPort: PEER_PORT,
      }),
    );
    return new DeployedProcess(INSTANCE, settings, openSync(join(this.folder, `${name}.log`), 'a'));
  }

  /** Loopback addresses that differ between seeds, so that runs side by side do not meet. */
  private findIp(index: number): string {
    return `127.0.${100 + (this.options.seed % 100)}.${index + 1}`;
  }
}
