import type { ServerId } from '../ids/server-id';
import type { FleetView } from './fleet-view';
import type { ServerAccount } from './server-account';
import type { ServerInfo } from './server-info';

/** Decides which slots a dispatcher may use and which server gets the next start. */
export interface PlacementPolicy {
  /** Slots of each server that this dispatcher may fill, given what its peers report. */
  computeAllowances(servers: readonly ServerInfo[], fleet: FleetView): Map<ServerId, number>;
  /** Chooses one of the servers that can take a start; the list is not empty. */
  chooseServer(usable: readonly ServerAccount[]): ServerAccount;
}
