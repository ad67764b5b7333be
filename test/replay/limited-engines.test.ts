import { join } from 'node:path';
import { expect } from 'chai';
import { allMechanisms } from '../../src/scheduling/index.js';
import { readPattern, type Pattern } from '../../tools/replay/pattern.js';
import { play, resolveOnTimeShare, type Outcome } from '../../tools/replay/replay.js';

const SEEDS = [1, 2, 3];
const WINDOW_MS = 4_000;
/** An engine gets at most so many times what its limit allows in a window, and a few requests more. */
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;
/** From when on it counts after the engine named it, in ms. */
const TOLD_MS = 500;

function load(name: string): Pattern {
  return readPattern(join('replay', `${name}.json`)).unwrap();
}

async function playAll(pattern: Pattern): Promise<Outcome[]> {
  const outcomes: Outcome[] = [];
  for (const seed of SEEDS) {
    outcomes.push(await play(pattern, { seed, mechanisms: allMechanisms }));
  }
  return outcomes;
}

/** What an outcome breaks of the limits of a pattern, and what of them is left unused. */
function judgeLimits({ events }: Pattern, { arrivals }: Outcome): string[] {
  const broken: string[] = [];
  for (const event of events) {
    if (event.what !== 'engine-limited') continue;
    const { engine, perSecond, atS, untilS } = event;
    const [from, to] = [atS * 1_000 + TOLD_MS, untilS * 1_000];
    const times = (arrivals.get(engine) ?? []).filter((at) => at >= from && at < to);
    const allowed = (LIMIT_FACTOR * perSecond * WINDOW_MS) / 1_000 + LIMIT_SLACK;
    for (const [index, first] of times.entries()) {
      const count = times.slice(index).filter((at) => at < first + WINDOW_MS).length;
      if (count > allowed) broken.push(`${engine} got ${count} in a window; allowed ${allowed}`);
    }
    const half = (perSecond * (to - from)) / 2_000;
    if (times.length < half) broken.push(`${engine} got ${times.length}; half is ${half}`);
  }
  return broken;
}

describe('engines that name limits, under load', () => {
  it('are kept within them and used, and the others take the rest on time', async () => {
    const pattern = load('limited-third');
    for (const outcome of await playAll(pattern)) {
      expect(judgeLimits(pattern, outcome)).to.deep.equal([]);
      expect(resolveOnTimeShare(outcome)).to.be.at.least(0.98);
    }
  });

  it('leave their room to the urgent first, where all that generate name limits', async () => {
    const pattern = load('limited-generators');
    for (const outcome of await playAll(pattern)) {
      expect(judgeLimits(pattern, outcome)).to.deep.equal([]);
      expect(resolveOnTimeShare(outcome, 'answer')).to.be.at.least(0.95);
    }
  });

  it('have callers who find no room come back while they can still be served', async () => {
    for (const { byKind } of await playAll(load('limited-generators'))) {
      for (const { failed } of byKind.values()) expect(failed).to.equal(0);
    }
  });
});
