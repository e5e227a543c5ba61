import { createClient } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';
import { InstanceService } from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';
import type { InstanceView } from './instance-view';

/** Asks an instance how it sees the leader; undefined if it does not answer in time. */
export async function fetchInstanceView(
  address: string,
  timeoutMs: number,
): Promise<InstanceView | undefined> {
  const baseUrl = `http://${address}`;
  const sessionManager = new Http2SessionManager(baseUrl);
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: '2',
    sessionManager,
    useBinaryFormat: true,
  });
  try {
    return await createClient(InstanceService, transport).getView({}, { timeoutMs });
  } catch {
    // No answer is an answer here: the instance is out of reach or gone.
    return undefined;
  } finally {
    sessionManager.abort();
  }
}
