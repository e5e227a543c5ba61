import { create } from '@bufbuild/protobuf';
import type { TaskId } from '@guavaspindle/kernel/ids/task-id';
import type { ServerPort } from '@guavaspindle/platform-adapter/servers/server-port';
import {
  ServerAnswerSchema,
  type ServerAnswer,
  type ServerOrder,
} from '@guavaspindle/protocol/gen/guavaspindle/instance/v1/instance_pb';
import { encodeAnswer } from './encode-answer';

/** Sends one of the leader's orders to its server; never rejects. */
export async function sendCarriedOrder(
  server: ServerPort,
  { call, order }: ServerOrder,
): Promise<ServerAnswer> {
  switch (order.case) {
    case 'start': {
      const { task, run, specification, leaseEndMs, fencingToken } = order.value;
      const answer = await server.startRun({
        task: task as TaskId,
        run,
        specification,
        leaseEndMs,
        fencingToken,
      });
      return create(ServerAnswerSchema, { call, answer: encodeAnswer(answer) });
    }
    case 'stop': {
      const { task, run, fencingToken } = order.value;
      const answer = await server.stopRun(task as TaskId, run, fencingToken);
      return create(ServerAnswerSchema, { call, answer: encodeAnswer(answer) });
    }
    case 'renew': {
      const { fencingToken, acknowledged, leaseEndMs, waitMs } = order.value;
      const state = await server.renewLeases({ fencingToken, acknowledged, leaseEndMs, waitMs });
      return create(ServerAnswerSchema, { call, answer: encodeAnswer(state) });
    }
    case undefined:
      return create(ServerAnswerSchema, {
        call,
        answer: { case: 'notSent', value: { reason: 'this version does not know the order' } },
      });
    default:
      return order satisfies never;
  }
}
