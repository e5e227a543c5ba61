import type { EventBody } from '../events/event-body';
import type { JobId } from '../ids/job-id';
import type { KernelEffect } from './kernel-effect';

/** The effects that the caller of the kernel has yet to carry out, in order. */
export class EffectQueue {
  private effects: KernelEffect[] = [];

  /** Adds effects. */
  addEffects(...effects: readonly KernelEffect[]): void {
    this.effects.push(...effects);
  }

  /** Adds an effect that records an event on the timeline. */
  recordEvent(
    type: EventBody['type'],
    jobId: JobId | undefined,
    detail: EventBody['detail'],
  ): void {
    const event = { type, detail, ...(jobId === undefined ? {} : { jobId }) };
    this.effects.push({ type: 'record', event });
  }

  /** Returns the effects added since the last call. */
  takeEffects(): KernelEffect[] {
    const taken = this.effects;
    this.effects = [];
    return taken;
  }
}
