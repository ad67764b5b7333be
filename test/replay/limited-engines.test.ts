import { join } from 'node:path';
import { expect } from 'chai';
import { allMechanisms } from '../../src/scheduling/index.js';
import { readPattern, type Pattern } from '../../tools/replay/pattern.js';
import { playSeeds, resolveOnTimeShare, type Outcome } from '../../tools/replay/replay.js';

const SEEDS = [1, 2, 3];
const WINDOW_MS = 4_000;
/** Allowed requests in a window: this factor times the limit, plus the slack. */
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;
/** Time after which a limit is checked once the engine has sent it, in ms. */
const SETTLING_MS = 500;

function load(name: string): Pattern {
  return readPattern(join('replay', `${name}.json`)).unwrap();
}

function playAll(pattern: Pattern): Promise<Outcome[]> {
  return playSeeds(pattern, SEEDS, allMechanisms);
}

/** Lists windows over an engine's limit, and engines that use less than half of it. */
function findLimitViolations({ events }: Pattern, { arrivals }: Outcome): string[] {
  const violations: string[] = [];
  for (const event of events) {
    if (event.what !== 'engine-limited') continue;
    const { engine, perSecond, atS, untilS } = event;
    const [from, to] = [atS * 1_000 + SETTLING_MS, untilS * 1_000];
    const times = (arrivals.get(engine) ?? []).filter((at) => at >= from && at < to);
    const allowed = (LIMIT_FACTOR * perSecond * WINDOW_MS) / 1_000 + LIMIT_SLACK;
    for (const [index, first] of times.entries()) {
      const count = times.slice(index).filter((at) => at < first + WINDOW_MS).length;
      if (count > allowed)
        violations.push(`${engine} got ${count} in a window; allowed ${allowed}`);
    }
    const half = (perSecond * (to - from)) / 2_000;
    if (times.length < half) violations.push(`${engine} got ${times.length}; half is ${half}`);
  }
  return violations;
}

describe('rate-limited engines under load', () => {
  it('get no more than their limits, and the others serve the rest on time', async () => {
    const pattern = load('limited-third');
    for (const outcome of await playAll(pattern)) {
      expect(findLimitViolations(pattern, outcome)).to.deep.equal([]);
      expect(resolveOnTimeShare(outcome)).to.be.at.least(0.98);
    }
  });

  it('serve urgent requests first when all decode engines are limited', async () => {
    const pattern = load('limited-generators');
    for (const outcome of await playAll(pattern)) {
      expect(findLimitViolations(pattern, outcome)).to.deep.equal([]);
      expect(resolveOnTimeShare(outcome, 'answer')).to.be.at.least(0.95);
    }
  });

  it('let callers without room retry before their deadline', async () => {
    for (const { byKind } of await playAll(load('limited-generators'))) {
      for (const { failed } of byKind.values()) expect(failed).to.equal(0);
    }
  });
});
