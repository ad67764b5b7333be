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
    expect([successes.excuses('a', undefined), successes.excuses('b', undefined)]).to.deep.equal([
      true,
      false,
    ]);
    await advance(20_000);
    expect(successes.excuses('a', undefined)).to.equal(false);
  });

  // engines of a new version that do not stand a part would otherwise crash for as long as it was served by those before
  it('excuse a part of the crashes of few servers, until it succeeds again', () => {
    const { clock } = createFakeClock();
    const successes = createPartSuccesses(clock);
    successes.record(['a']);
    const servers = ['s1', 's2', 's2', 's3', 's4', 's5'];
    const excused = servers.map((server) => successes.excuses('a', server));
    expect(excused).to.deep.equal([true, true, true, true, false, false]);
    successes.record(['a']);
    expect(successes.excuses('a', 's6')).to.equal(true);
  });

  it('are forgotten in the order of their age when callers invent many parts', () => {
    const { clock } = createFakeClock();
    const successes = createPartSuccesses(clock);
    successes.record(['old', 'used']);
    for (let index = 0; index < FLOOD; index += 1) successes.record([`part-${index}`, 'used']);
    expect([
      successes.excuses('old', undefined),
      successes.excuses('used', undefined),
    ]).to.deep.equal([false, true]);
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
