import { request } from 'undici';

/** Sends a control request to a stand-in, such as a change of faults. */
export async function sendToStandIn(address: string, path: string, body: unknown): Promise<void> {
  const response = await request(`http://${address}${path}`, {
    method: 'POST',
    body: JSON.stringify(body),
  });
  await response.body.dump();
}
