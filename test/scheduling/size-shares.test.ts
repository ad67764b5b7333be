import { expect } from 'chai';
import { createSizeShares, type SizedRequest } from '../../src/scheduling/size-shares.js';

const DEADLINE_MS = 5_000;
const PREFILL_MS = 100;
const LONG_TOKENS = 40_000;

let counter = 0;

function request(tokens: number, rank = 0): SizedRequest {
  counter += 1;
  return { key: `request-${counter}`, rank, tokens };
}

/** Records 100 requests of 1,000 to 10,000 tokens, a tenth of each size, all admitted. */
function createUsed() {
  const shares = createSizeShares();
  for (let index = 0; index < 100; index += 1) {
    const short = request(1_000 * (1 + (index % 10)));
    shares.submitted(short, DEADLINE_MS, 0);
    shares.estimated(short, PREFILL_MS, 0);
    shares.admitted(short, 0);
  }
  return shares;
}

/** Submits long requests until one is behind; returns their number, or 0 if none of 50 is. */
function submitUntilBehind(shares: ReturnType<typeof createSizeShares>, now = 0): number {
  for (let submitted = 1; submitted <= 50; submitted += 1) {
    const long = request(LONG_TOKENS);
    shares.submitted(long, now + DEADLINE_MS, now);
    shares.estimated(long, PREFILL_MS, now);
    if (shares.isBehind(long, PREFILL_MS, now)) return submitted;
  }
  return 0;
}

describe('size shares', () => {
  it('gives room to a size that is admitted clearly less often than all', () => {
    const shares = createUsed();
    expect(submitUntilBehind(shares)).to.be.within(2, 8);
    expect(shares.isBehind(request(1_000), PREFILL_MS, 0)).to.equal(false);
  });

  it('gives room after a restart, when nothing is known', () => {
    expect(submitUntilBehind(createSizeShares())).to.equal(1);
  });

  it('gives none once the size has caught up', () => {
    const shares = createUsed();
    const submitted = submitUntilBehind(shares);
    for (let index = 0; index < submitted; index += 1) shares.admitted(request(LONG_TOKENS), 0);
    expect(shares.isBehind(request(LONG_TOKENS), PREFILL_MS, 0)).to.equal(false);
  });

  it('counts a request once until its deadline, however often it returns', () => {
    const shares = createUsed();
    const returning = request(LONG_TOKENS);
    for (let attempt = 0; attempt < 50; attempt += 1) {
      shares.submitted(returning, DEADLINE_MS, attempt);
    }
    expect(shares.isBehind(returning, PREFILL_MS, 50)).to.equal(false);
    expect(submitUntilBehind(shares)).to.be.above(1);
  });

  it('takes an admission back that came to nothing', () => {
    const shares = createSizeShares();
    const long = request(LONG_TOKENS);
    shares.submitted(long, DEADLINE_MS, 0);
    shares.admitted(long, 0);
    expect(shares.isBehind(long, PREFILL_MS, 0)).to.equal(false);
    shares.withdrawn(long, 0);
    shares.admitted(request(1_000), 0);
    expect(shares.isBehind(long, PREFILL_MS, 0)).to.equal(true);
  });

  it('gives room to the cheaper ones of a size', () => {
    const shares = createUsed();
    submitUntilBehind(shares);
    expect(shares.isBehind(request(LONG_TOKENS), PREFILL_MS, 0)).to.equal(true);
    expect(shares.isBehind(request(LONG_TOKENS), 3 * PREFILL_MS, 0)).to.equal(false);
  });

  it('compares sizes within a rank', () => {
    const shares = createUsed();
    const other = request(LONG_TOKENS, 1);
    shares.submitted(other, DEADLINE_MS, 0);
    shares.admitted(other, 0);
    submitUntilBehind(shares);
    expect(shares.isBehind(other, PREFILL_MS, 0)).to.equal(false);
  });
});
