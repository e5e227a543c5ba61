import { createClient } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';
import type { PartId } from '@guavaspindle/kernel/ids/part-id';
import { InstanceService } from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';
import type { InstanceView } from './instance-view';

/** Fetches an instance's view of the leader of a part; undefined if it does not answer in time. */
export async function fetchInstanceView(
  address: string,
  part: PartId,
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
    return await createClient(InstanceService, transport).getView({ part }, { timeoutMs });
  } catch {
    // Errors are not reported: callers treat the instance as unreachable or stopped.
    return undefined;
  } finally {
    sessionManager.abort();
  }
}
