import { expect } from 'chai';
import { createLatencyModel, resolvePrefillWork } from '../../src/scheduling/latency-model.js';

/** Prefill time of an engine in milliseconds. */
function resolveActualMs(uncached: number, cached: number, tokensPerMs: number): number {
  const { tokens, pairs } = resolvePrefillWork(uncached, cached);
  return 5 + tokens / tokensPerMs + 0.367 * (pairs / 1_000_000);
}

const PREFILLS: readonly (readonly [uncached: number, cached: number])[] = [
  [3_700, 13_300],
  [2_900, 6_300],
  [1_100, 350],
  [12_000, 0],
  [900, 25_000],
];

describe('latency model', () => {
  for (const tokensPerMs of [30, 64, 300, 600]) {
    it(`is accurate within 20% after ten prefills at ${tokensPerMs} tokens/ms`, () => {
      const model = createLatencyModel();
      for (let index = 0; index < 10; index += 1) {
        const [uncached, cached] = PREFILLS[index % PREFILLS.length] ?? [0, 0];
        model.observe(
          resolvePrefillWork(uncached, cached),
          resolveActualMs(uncached, cached, tokensPerMs),
        );
      }
      for (const [uncached, cached] of PREFILLS) {
        const expected = resolveActualMs(uncached, cached, tokensPerMs);
        const estimate = model.estimateMs(resolvePrefillWork(uncached, cached));
        expect(estimate).to.be.within(expected * 0.8 - 3, expected * 1.2 + 3);
      }
    });
  }

  it('is not distorted by one stalled engine', () => {
    const model = createLatencyModel();
    const work = resolvePrefillWork(4_000, 0);
    for (let index = 0; index < 20; index += 1) {
      model.observe(work, 60);
    }
    model.observe(work, 4_000);
    expect(model.estimateMs(work)).to.be.below(80);
  });

  it('adapts when all engines become slower', () => {
    const model = createLatencyModel();
    const work = resolvePrefillWork(4_000, 0);
    for (let index = 0; index < 20; index += 1) {
      model.observe(work, 60);
    }
    for (let index = 0; index < 60; index += 1) {
      model.observe(work, 180);
    }
    expect(model.estimateMs(work)).to.be.above(150);
  });

  it('never estimates less time for more tokens', () => {
    const model = createLatencyModel();
    for (const [uncached, cached] of PREFILLS) {
      model.observe(resolvePrefillWork(uncached, cached), 0);
    }
    const less = model.estimateMs(resolvePrefillWork(1_000, 5_000));
    expect(model.estimateMs(resolvePrefillWork(6_000, 0))).to.be.at.least(less);
  });
});
