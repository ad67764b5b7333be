import { expect } from 'chai';
import { createPartKey, createPartSuccesses, isPartKey } from '../../src/quarantine/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

const FLOOD = 10_000;

describe('successes of parts of prompts', () => {
  it('speak for a part for a while', async () => {
    const { clock, advance } = createFakeClock();
    const successes = createPartSuccesses(clock);
    successes.record(['a']);
    await advance(20_000);
    expect([successes.isRecent('a'), successes.isRecent('b')]).to.deep.equal([true, false]);
    await advance(20_000);
    expect(successes.isRecent('a')).to.equal(false);
  });

  it('are forgotten in the order of their age when callers invent many parts', () => {
    const { clock } = createFakeClock();
    const successes = createPartSuccesses(clock);
    successes.record(['old', 'used']);
    for (let index = 0; index < FLOOD; index += 1) successes.record([`part-${index}`, 'used']);
    expect([successes.isRecent('old'), successes.isRecent('used')]).to.deep.equal([false, true]);
  });
});

describe('the key of a part', () => {
  it('tells services apart and is bounded, whatever the id', () => {
    const ids = ['7f3a', 'x'.repeat(5_000), 'a/b:c'];
    const keys = ids.flatMap((id) => [createPartKey('chat', id), createPartKey('draft', id)]);
    expect(new Set(keys).size).to.equal(keys.length);
    expect(Math.max(...keys.map(({ length }) => length))).to.be.below(120);
    expect(keys.every((key) => isPartKey(key))).to.equal(true);
    expect(keys[0]).to.equal('part:chat:7f3a');
  });
});
