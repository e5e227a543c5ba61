import { buildKernel } from './fixtures/build-kernel';
import { buildRow } from './fixtures/build-row';
import { buildServer } from './fixtures/build-server';
import { buildSubmission } from './fixtures/build-submission';

describe('the choice of a server for a start', () => {
  it('alternates among servers with equally many free slots', () => {
    const servers = [1, 2, 3, 4].map((number) => buildServer(number, { slots: 8 }));
    const kernel = buildKernel();
    kernel.adoptTable({ revision: 1, rows: [buildRow()] }, 0);
    kernel.adoptServers(servers, 0);
    const chosen = [0, 1, 2, 3, 4, 5, 6, 7].map((number) => {
      const nowMs = number * 10;
      kernel.submitJob(buildSubmission(`job-${number}`, 1), number, nowMs);
      const start = kernel.takeEffects().find((effect) => effect.type === 'start')!;
      const answer = { type: 'answered', answerJson: '1' } as const;
      kernel.endAttempt(start.attempt, answer, nowMs + 5);
      return start.server.id;
    });
    servers.forEach(({ id }) => expect(chosen.filter((each) => each === id)).toHaveLength(2));
  });
});
