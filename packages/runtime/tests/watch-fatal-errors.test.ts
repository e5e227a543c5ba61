import { EventEmitter } from 'node:events';
import { buildInvariantError } from '@guavaspindle/kernel/build-invariant-error';
import { watchFatalErrors } from '@guavaspindle/runtime/process/watch-fatal-errors';
import bunyan from 'bunyan';

describe('watchFatalErrors', () => {
  it.each([
    ['a broken invariant', buildInvariantError('counts differ', { job: 'j1' }), { job: 'j1' }],
    ['any other error', new Error('counts differ'), {}],
  ])(
    'logs an uncaught exception with its VError info and stops the process: %s',
    (_name, error, info) => {
      const ring = new bunyan.RingBuffer({ limit: 10 });
      const log = bunyan.createLogger({ name: 'test', streams: [{ type: 'raw', stream: ring }] });
      const source = new EventEmitter();
      const stopProcess = jest.fn();
      watchFatalErrors(log, source, stopProcess);
      source.emit('uncaughtException', error);
      expect(stopProcess.mock.calls).toEqual([[70]]);
      expect(ring.records).toMatchObject([{ level: bunyan.FATAL, info }]);
    },
  );
});
