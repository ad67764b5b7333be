import { expect } from 'chai';
import { createCallerRetries } from '../../src/relay/caller-retries.js';

describe('caller retries', () => {
  it('detects retries by a shorter remaining wait than the longest one of the route', () => {
    const retries = createCallerRetries();
    expect(retries.isRetry('a', 2_000)).to.equal(false);
    expect(retries.isRetry('a', 1_990)).to.equal(false);
    expect(retries.isRetry('a', 1_400)).to.equal(true);
    expect(retries.isRetry('b', 1_400)).to.equal(false);
  });

  it('does not depend on the time limit of the route', () => {
    const retries = createCallerRetries();
    for (let index = 0; index < 5; index += 1) {
      expect(retries.isRetry('a', 2_000)).to.equal(false);
    }
  });
});
