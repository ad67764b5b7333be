import { expect } from 'chai';
import { createLatencyModel, resolvePrefillWork } from '../../src/scheduling/latency-model.js';

/** What an engine takes for a read, by the terms that engines have. */
function takes(unread: number, cached: number, tokensPerMs: number): number {
  const { tokens, pairs } = resolvePrefillWork(unread, cached);
  return 5 + tokens / tokensPerMs + 0.367 * (pairs / 1_000_000);
}

const READS: readonly (readonly [unread: number, cached: number])[] = [
  [3_700, 13_300],
  [2_900, 6_300],
  [1_100, 350],
  [12_000, 0],
  [900, 25_000],
];

describe('the pace of engines', () => {
  for (const tokensPerMs of [30, 64, 300, 600]) {
    it(`is known within a fifth after ten reads at ${tokensPerMs} tokens a ms`, () => {
      const pace = createLatencyModel();
      for (let index = 0; index < 10; index += 1) {
        const [unread, cached] = READS[index % READS.length] ?? [0, 0];
        pace.observe(resolvePrefillWork(unread, cached), takes(unread, cached, tokensPerMs));
      }
      for (const [unread, cached] of READS) {
        const expected = takes(unread, cached, tokensPerMs);
        const found = pace.estimateMs(resolvePrefillWork(unread, cached));
        expect(found).to.be.within(expected * 0.8 - 3, expected * 1.2 + 3);
      }
    });
  }

  it('is not changed by one engine that stands still', () => {
    const pace = createLatencyModel();
    const work = resolvePrefillWork(4_000, 0);
    for (let index = 0; index < 20; index += 1) {
      pace.observe(work, 60);
    }
    pace.observe(work, 4_000);
    expect(pace.estimateMs(work)).to.be.below(80);
  });

  it('follows engines that all become slower', () => {
    const pace = createLatencyModel();
    const work = resolvePrefillWork(4_000, 0);
    for (let index = 0; index < 20; index += 1) {
      pace.observe(work, 60);
    }
    for (let index = 0; index < 60; index += 1) {
      pace.observe(work, 180);
    }
    expect(pace.estimateMs(work)).to.be.above(150);
  });

  it('never says that more to read takes less', () => {
    const pace = createLatencyModel();
    for (const [unread, cached] of READS) {
      pace.observe(resolvePrefillWork(unread, cached), 0);
    }
    const less = pace.estimateMs(resolvePrefillWork(1_000, 5_000));
    expect(pace.estimateMs(resolvePrefillWork(6_000, 0))).to.be.at.least(less);
  });
});
