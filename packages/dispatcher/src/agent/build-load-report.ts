import type { MessageInitShape } from '@bufbuild/protobuf';
import type { DispatchKernel } from '@guavaspindle/kernel/dispatch/dispatch-kernel';
import type { MemberSchema } from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';

/** Builds the load report that a dispatcher sends to its agent with each heartbeat. */
export function buildLoadReport(kernel: DispatchKernel): MessageInitShape<typeof MemberSchema> {
  return { backlogMs: kernel.computeBacklogMs(), ready: kernel.isReady() };
}
