import { expect } from 'chai';
import { createCallerRetries } from '../../src/relay/caller-retries.js';

describe('the record of how long callers wait', () => {
  it('knows callers that have come back by the time they have left', () => {
    const record = createCallerRetries();
    expect(record.isRetry('a', 2_000)).to.equal(false);
    expect(record.isRetry('a', 1_990)).to.equal(false);
    expect(record.isRetry('a', 1_400)).to.equal(true);
    expect(record.isRetry('b', 1_400)).to.equal(false);
  });

  it('does not go by the time limit of the route, which may be raised', () => {
    const record = createCallerRetries();
    for (let index = 0; index < 5; index += 1) {
      expect(record.isRetry('a', 2_000)).to.equal(false);
    }
  });
});
