import { systemClock } from '@guavaspindle/kernel/time/system-clock';
import { RemoteEntry } from '../src/links/remote-entry';

describe('the leader’s side of a link', () => {
  // Guards against a start on the word of messages that had waited while the leader was paused.
  it('counts as silent after a request for a proof until the ping is answered', () => {
    let answerPing = (): void => {};
    const entry = new RemoteEntry(systemClock, (onAnswered) => {
      answerPing = onAnswered;
    });
    entry.recordMessage(false);
    expect(entry.isSilent()).toBe(false);
    entry.requestProof();
    entry.recordMessage(false);
    expect(entry.isSilent()).toBe(true);
    answerPing();
    expect(entry.isSilent()).toBe(false);
  });
});
