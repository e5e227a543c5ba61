import { request } from 'undici';
import type { Deployment } from '../deployment/deployment';

/** Starts and refusals over all backend servers. */
interface MessageCounts {
  readonly starts: number;
  readonly refusals: number;
}

/** Counts what the stand-in backend servers received so far. */
export async function countBackendMessages(deployment: Deployment): Promise<MessageCounts> {
  const addresses = [...deployment.plan.backends.values()].flat();
  const counts = await Promise.all(
    addresses.map(async (address) => {
      const response = await request(`http://${address}/stand-in/counts`);
      return (await response.body.json()) as MessageCounts;
    }),
  );
  return {
    starts: counts.reduce((sum, { starts }) => sum + starts, 0),
    refusals: counts.reduce((sum, { refusals }) => sum + refusals, 0),
  };
}
