import { expect } from 'chai';
import { createSilenceWatch } from '../../src/paths/silence-watch.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

/** Creates a watch and counts how often it finds its server silent. */
function createCase() {
  const { clock, advance } = createFakeClock();
  const found: number[] = [];
  const watch = createSilenceWatch(clock, () => {
    found.push(clock.now());
  });

  /** An exchange that hears something after each interval. */
  async function hear(intervalMs: number, count: number): Promise<void> {
    const exchange = watch.started(() => undefined);
    for (let index = 0; index < count; index += 1) {
      await advance(intervalMs);
      exchange.heard();
    }
    exchange.ended();
  }

  return { advance, watch, found, hear };
}

describe('watch of silent servers', () => {
  it('finds a server silent sooner than the longest limit where answers come quickly', async () => {
    const { advance, watch, found, hear } = createCase();
    await hear(5, 50);
    watch.started(() => undefined);
    await advance(150);
    expect(found.length).to.be.greaterThan(0);
  });

  it('leaves a server alone that is slow by nature', async () => {
    const { found, hear } = createCase();
    await hear(200, 100);
    expect(found).to.deep.equal([]);
  });

  it('leaves a server alone that has nothing to answer', async () => {
    const { advance, found, hear } = createCase();
    await hear(5, 20);
    await advance(10_000);
    expect(found).to.deep.equal([]);
  });

  it('abandons exchanges that have heard nothing, and those alone', async () => {
    const { advance, watch } = createCase();
    const abandoned: string[] = [];
    watch.started(() => abandoned.push('silent'));
    const answered = watch.started(() => abandoned.push('answered'));
    await advance(450);
    answered.heard();
    watch.abandonSilent();
    expect(abandoned).to.deep.equal(['silent']);
  });
});
