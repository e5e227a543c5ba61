import { create, toBinary } from '@bufbuild/protobuf';
import { Membership } from '@guavaspindle/agent/membership/membership';
import { EventRingBuffer } from '@guavaspindle/kernel/events/event-ring-buffer';
import { HybridClock } from '@guavaspindle/kernel/events/hybrid-clock';
import { systemClock } from '@guavaspindle/kernel/time/system-clock';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  InstanceViewSchema,
  Role,
  SyncResponseSchema,
  type InstanceView,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import type { SlopeSeries } from './slope-series';

const INSTANCE_COUNTS = [6, 60, 600];
const ID_LENGTH = 16;

/** Builds an id of the usual length. */
function buildId(number: number): string {
  return number.toString(16).padStart(ID_LENGTH, '0');
}

/** Builds the view of an instance with its gateway and dispatcher. */
function buildView(number: number): InstanceView {
  const base = { address: '10.100.100.100:40000', domain: 'hall-shmeisani', pid: 100_000 };
  return create(InstanceViewSchema, {
    agentIncarnation: buildId(number),
    domain: base.domain,
    address: base.address,
    heartbeat: 1_000_000n,
    readsStore: false,
    members: [
      { ...base, incarnation: buildId(number + 1), role: Role.GATEWAY, tableRevision: 1_000n },
      {
        ...base,
        incarnation: buildId(number + 2),
        role: Role.DISPATCHER,
        tableRevision: 1_000n,
        backlogMs: 1.5,
      },
    ],
  });
}

/** Measures an agent's messages and work against the number of instances it knows. */
export function measureMembers(): SlopeSeries[] {
  const syncBytes: [number, number][] = [];
  const digestBytes: [number, number][] = [];
  const viewBytes: [number, number][] = [];
  const adoptMs: [number, number][] = [];
  INSTANCE_COUNTS.forEach((count) => {
    const ring = new EventRingBuffer('slopes', new HybridClock(systemClock), 100);
    const identity = { incarnation: 'self', domain: 'hall-shmeisani', address: '10.0.0.1:1' };
    const membership = new Membership(identity, systemClock, ring);
    const views = Array.from({ length: count }, (_unused, index) => buildView(index * 10));
    const startedAt = performance.now();
    membership.recordViews(views);
    membership.advanceHeartbeat();
    adoptMs.push([count, performance.now() - startedAt]);
    const sync = create(SyncResponseSchema, {
      roster: { version: 1n, agent: 'agent', members: membership.listMembers() },
    });
    syncBytes.push([count, toBinary(SyncResponseSchema, sync).length]);
    const request = create(ExchangeRequestSchema, { known: membership.buildDigest() });
    digestBytes.push([count, toBinary(ExchangeRequestSchema, request).length]);
    const response = create(ExchangeResponseSchema, { views });
    viewBytes.push([count, toBinary(ExchangeResponseSchema, response).length]);
  });
  return [
    {
      size: 'instances',
      figure: 'list of members for a process, when it changes, bytes',
      points: syncBytes,
    },
    { size: 'instances', figure: 'digest in an exchange, bytes', points: digestBytes },
    { size: 'instances', figure: 'all views in an exchange, bytes', points: viewBytes },
    { size: 'instances', figure: 'adopting all views, ms', points: adoptMs },
  ];
}
