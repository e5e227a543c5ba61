import type { IncarnationId } from '@guavaspindle/kernel/ids/incarnation-id';
import type { ServerInfo } from '@guavaspindle/kernel/placement/server-info';
import { buildKernel } from './fixtures/build-kernel';
import { buildRow } from './fixtures/build-row';
import { buildServer } from './fixtures/build-server';
import { buildSubmission } from './fixtures/build-submission';

const SELF = 'self' as IncarnationId;
const PEER = 'peer' as IncarnationId;

/** Builds a view in which one peer uses the given number of slots of every server. */
function buildPeerView(servers: readonly ServerInfo[], used: number) {
  const usedSlots = new Map(servers.map(({ id }) => [id, used]));
  return { self: SELF, peers: [{ incarnation: PEER, usedSlots }] };
}

describe('slots that peers use', () => {
  it.each([
    ['one server', 1],
    ['two servers', 2],
    ['five servers', 5],
  ])('make a job wait and do not cause a refusal for lack of capacity: %s', (_name, count) => {
    const servers = Array.from({ length: count }, (_unused, index) =>
      buildServer(index, { slots: 8 }),
    );
    const kernel = buildKernel();
    kernel.adoptTable({ revision: 1, rows: [buildRow()] }, 0);
    kernel.adoptServers(servers, 0);
    kernel.adoptPeers(buildPeerView(servers, 8), 0);
    const decision = kernel.submitJob(buildSubmission('job', 1), 0, 0);
    expect(decision.type).toBe('accepted');
    expect(kernel.takeEffects().map(({ type }) => type)).not.toContain('start');
    kernel.adoptPeers(buildPeerView(servers, 0), 50);
    expect(kernel.takeEffects().map(({ type }) => type)).toContain('start');
  });

  it('do not prevent a refusal when every server is leaving', () => {
    const servers = [buildServer(1, { leaving: true })];
    const kernel = buildKernel();
    kernel.adoptTable({ revision: 1, rows: [buildRow()] }, 0);
    kernel.adoptServers(servers, 0);
    const decision = kernel.submitJob(buildSubmission('job', 1), 0, 0);
    expect(decision).toMatchObject({ type: 'refused', problem: { code: 'no-capacity' } });
  });
});
