import type { ServiceImpl } from '@connectrpc/connect';
import type { EventRingBuffer } from '@guavaspindle/kernel/events/event-ring-buffer';
import type { ProcessService } from '@guavaspindle/protocol/gen/guavaspindle/v1/dispatch_pb';

/** Builds the service through which the agent reads events and starts a graceful shutdown. */
export function buildProcessService(
  ring: EventRingBuffer,
  beginShutdown: () => void,
): ServiceImpl<typeof ProcessService> {
  return {
    readEvents(request) {
      const jobId = request.jobId === '' ? undefined : request.jobId;
      const events = ring.readEvents(request.sinceMs, jobId).map((event) => ({
        wallMs: event.stamp.wallMs,
        logical: event.stamp.logical,
        process: event.process,
        type: event.body.type,
        jobId: event.body.jobId ?? '',
        detailJson: JSON.stringify(event.body.detail),
      }));
      return { events };
    },
    drain() {
      // Delays the shutdown by 50 ms so that the response to this call can still be sent.
      setTimeout(beginShutdown, 50);
      return {};
    },
  };
}
