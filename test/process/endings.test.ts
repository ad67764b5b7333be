import { EventEmitter } from 'node:events';
import { expect } from 'chai';
import { logEndings } from '../../src/process/index.js';
import { createKeptLog, type KeptLog } from '../fixtures/gateway.js';

describe('the end of a process', () => {
  let observed: EventEmitter;
  let log: KeptLog;
  let uncaught: number;
  let linesFlushed: number;

  beforeEach(() => {
    observed = new EventEmitter();
    log = createKeptLog();
    uncaught = 0;
    linesFlushed = 0;
    log.flush = () => (linesFlushed = log.lines.length);
    logEndings({
      process: observed,
      log,
      errorUncaught: () => (uncaught += 1),
      inFlight: () => 3,
    });
  });

  it('is logged with its code and the requests in progress, and written at once', () => {
    observed.emit('exit', 1);
    expect(log.lines).to.deep.equal([{ event: 'processExited', fields: { code: 1, inFlight: 3 } }]);
    expect(linesFlushed).to.equal(1);
  });

  it('by an error that nobody caught is logged with the error’s stack', () => {
    const error = new Error('no such row');
    observed.emit('uncaughtExceptionMonitor', error, 'unhandledRejection');
    expect(log.lines[0]?.event).to.equal('errorUncaught');
    expect(log.lines[0]?.fields).to.deep.equal({
      origin: 'unhandledRejection',
      reason: 'Error: no such row',
      stack: error.stack,
      inFlight: 3,
    });
    expect(uncaught).to.equal(1);
  });

  it('by something thrown that is no error is logged without a stack', () => {
    observed.emit('uncaughtExceptionMonitor', 'text', 'uncaughtException');
    expect(log.lines[0]?.fields).to.include({ reason: 'text', stack: undefined });
  });
});
