import { create } from '@bufbuild/protobuf';
import type { DomainName } from '@guavaspindle/kernel/ids/domain-name';
import type { IncarnationId } from '@guavaspindle/kernel/ids/incarnation-id';
import { TicketIssuer } from '@guavaspindle/kernel/submission/ticket-issuer';
import type { DispatcherServer } from '@guavaspindle/dispatcher/service/dispatcher-server';
import {
  CancelJobRequestSchema,
  GetJobRequestSchema,
  SubmitJobRequestSchema,
} from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';
import { buildDispatcherServer } from './fixtures/build-dispatcher-server';

/** Issues a ticket of an earlier process that listened at the same address. */
function mintForeignTicket(): string {
  const incarnation = 'ffffffffffffffff' as IncarnationId;
  return new TicketIssuer('oviedo' as DomainName, incarnation, Buffer.alloc(32, 9)).issueTicket();
}

describe('DispatcherServer given a ticket of an earlier incarnation', () => {
  let server: DispatcherServer;
  let close: () => void;

  beforeEach(() => {
    ({ server, close } = buildDispatcherServer());
  });

  afterEach(() => close());

  it.each([
    [
      'submission',
      () =>
        server.submitJob(
          create(SubmitJobRequestSchema, {
            ticket: mintForeignTicket(),
            caller: 'caller',
            kind: 'plan',
            bodyHash: 'hash',
            tasks: [{ payloadJson: '1' }],
            wait: true,
          }),
        ),
    ],
    [
      'question',
      () =>
        server.getJob(
          create(GetJobRequestSchema, { jobId: mintForeignTicket(), caller: 'caller' }),
        ),
    ],
    [
      'cancellation',
      () =>
        server.cancelJob(
          create(CancelJobRequestSchema, { jobId: mintForeignTicket(), caller: 'caller' }),
        ),
    ],
  ])('answers a %s with "unknown", never "not-run"', async (_name, sendRequest) => {
    const reply = await sendRequest();
    expect(reply.result).toMatchObject({ case: 'problem', value: { outcome: 'unknown' } });
  });

  it('refuses a forged ticket of its own incarnation as not run', async () => {
    const { tickets } = server.mintTickets({ caller: 'caller', count: 1 });
    const forged = `${tickets[0]!.slice(0, -4)}0000`;
    const reply = server.getJob(create(GetJobRequestSchema, { jobId: forged, caller: 'caller' }));
    expect(reply.result).toMatchObject({ case: 'problem', value: { outcome: 'not-run' } });
  });
});
