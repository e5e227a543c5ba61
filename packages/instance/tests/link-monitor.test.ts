import { LinkMonitor } from '../src/links/link-monitor';
import { linkTiming } from '../src/links/link-timing';

const { silenceTimeoutMs, heardTimeoutMs, pingIntervalMs, idlePingIntervalMs } = linkTiming;

describe('LinkMonitor', () => {
  it('does not take a leader for silent that has not been asked', () => {
    const monitor = new LinkMonitor(silenceTimeoutMs);
    expect(monitor.isSilent(60_000)).toBe(false);
    expect(monitor.hasHeard(60_000)).toBe(true);
  });

  it.each([
    [heardTimeoutMs, true, false],
    [heardTimeoutMs + 1, false, false],
    [silenceTimeoutMs, false, false],
    [silenceTimeoutMs + 1, false, true],
  ])('%i ms after the first unanswered ping: heard %s, silent %s', (waitMs, isHeard, isSilent) => {
    const monitor = new LinkMonitor(silenceTimeoutMs);
    monitor.recordPing(100);
    // Later pings do not extend the wait.
    monitor.recordPing(100 + pingIntervalMs);
    expect(monitor.hasHeard(100 + waitMs)).toBe(isHeard);
    expect(monitor.isSilent(100 + waitMs)).toBe(isSilent);
    monitor.recordMessage();
    expect(monitor.isSilent(100 + waitMs)).toBe(false);
  });

  it.each([
    ['with open jobs', false, pingIntervalMs],
    ['without open jobs', true, idlePingIntervalMs],
  ])('pauses between pings %s', (_name, isIdle, pauseMs) => {
    expect(new LinkMonitor(silenceTimeoutMs).computePauseMs(0, isIdle)).toBe(pauseMs);
  });

  // Guards against a silent leader that is noticed only at the next ping after the timeout.
  it('checks as soon as an unanswered ping has timed out', () => {
    const monitor = new LinkMonitor(silenceTimeoutMs);
    monitor.recordPing(0);
    const nowMs = silenceTimeoutMs - 50;
    const dueMs = nowMs + monitor.computePauseMs(nowMs, true);
    expect(monitor.isSilent(dueMs)).toBe(true);
    expect(dueMs).toBeLessThanOrEqual(silenceTimeoutMs + 1);
  });
});
