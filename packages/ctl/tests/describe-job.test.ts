import { describeJob } from '@guavaspindle/ctl/jobs/describe-job';

/** Builds an event of a dispatcher. */
function buildEvent(type: string, detail: Record<string, unknown> = {}) {
  return { wallMs: 1_000, process: 'dispatcher/oviedo/1', type, detail };
}

const received = buildEvent('submission-received', { caller: 'costura', tasks: 2 });
const accepted = buildEvent('submission-accepted', { tasks: 2 });
const ended = buildEvent('job-ended', { outcome: 'complete', tookMs: 70 });

describe('describeJob', () => {
  it.each([
    ['no event', [], { state: 'unseen', outcome: '', tasks: 0 }],
    ['a lost owner', [received], { state: 'received', outcome: '', owner: '', caller: 'costura' }],
    [
      'a refusal',
      [received, buildEvent('submission-refused')],
      { state: 'refused', outcome: 'not-run', owner: 'dispatcher/oviedo/1' },
    ],
    [
      'work in progress',
      [received, accepted, buildEvent('task-started'), buildEvent('task-started')],
      { state: 'running', starts: 2, answers: 0, tookMs: undefined },
    ],
    [
      'an end',
      [received, accepted, buildEvent('task-started'), buildEvent('task-answered'), ended],
      { state: 'ended', outcome: 'complete', starts: 1, answers: 1, tookMs: 70 },
    ],
    [
      'an acceptance after a refusal elsewhere',
      [received, buildEvent('submission-refused'), accepted],
      { state: 'running', outcome: '' },
    ],
  ])('tells the state from %s', (_name, events, expected) => {
    expect(describeJob(events)).toMatchObject(expected);
  });
});
