import type { JobSummary } from './job-summary';
import type { TimelineEvent } from './timeline-event';

/** Tells a job's state from the types of its events. */
function readState(types: ReadonlySet<string>): JobSummary['state'] {
  if (types.has('job-ended')) {
    return 'ended';
  }
  if (types.has('submission-accepted')) {
    return 'running';
  }
  if (types.has('submission-refused')) {
    return 'refused';
  }
  return types.size > 0 ? 'received' : 'unseen';
}

/** Describes a job from its events, which are in order of cause and effect. */
export function describeJob(events: readonly TimelineEvent[]): JobSummary {
  const find = (type: string) => events.find((event) => event.type === type);
  const count = (type: string) => events.filter((event) => event.type === type).length;
  const accepted = find('submission-accepted');
  const received = find('submission-received');
  const ended = find('job-ended');
  const owner = accepted ?? find('submission-refused');
  const state = readState(new Set(events.map(({ type }) => type)));
  return {
    state,
    outcome: String(ended?.detail.outcome ?? (state === 'refused' ? 'not-run' : '')),
    owner: owner?.process ?? '',
    caller: String(received?.detail.caller ?? ''),
    tasks: Number(accepted?.detail.tasks ?? received?.detail.tasks ?? 0),
    starts: count('task-started'),
    answers: count('task-answered'),
    receivedAtMs: (received ?? accepted)?.wallMs,
    tookMs: ended === undefined ? undefined : Number(ended.detail.tookMs),
  };
}
