import { expect } from 'chai';
import { createCallerPatience } from '../../src/scheduling/caller-patience.js';

describe('caller patience', () => {
  it('is the wait after which several callers left', () => {
    const patience = createCallerPatience();
    for (const waitedMs of [300, 2_400, 2_390, 2_400]) patience.left(0, waitedMs, 0);
    expect(patience.limitMs(0, 0)).to.equal(Number.POSITIVE_INFINITY);
    patience.left(0, 2_400, 0);
    expect(patience.limitMs(0, 0)).to.equal(2_280);
    expect(patience.limitMs(1, 0)).to.equal(Number.POSITIVE_INFINITY);
  });

  it('is unknown while callers leave after any wait', () => {
    const patience = createCallerPatience();
    for (let waitedMs = 100; waitedMs <= 3_000; waitedMs += 100) patience.left(0, waitedMs, 0);
    expect(patience.limitMs(0, 0)).to.equal(Number.POSITIVE_INFINITY);
  });

  it('is forgotten after a time', () => {
    const patience = createCallerPatience();
    for (let index = 0; index < 10; index += 1) patience.left(0, 1_000, 0);
    expect(patience.limitMs(0, 29_000)).to.equal(950);
    expect(patience.limitMs(0, 31_000)).to.equal(Number.POSITIVE_INFINITY);
  });

  it('is forgotten when a caller waits longer', () => {
    const patience = createCallerPatience();
    for (let index = 0; index < 10; index += 1) patience.left(0, 1_000, 0);
    expect(patience.limitMs(0, 0)).to.equal(950);
    patience.stayed(0, 960, 0);
    expect(patience.limitMs(0, 0)).to.equal(950);
    patience.stayed(0, 1_500, 0);
    expect(patience.limitMs(0, 0)).to.equal(Number.POSITIVE_INFINITY);
  });
});
