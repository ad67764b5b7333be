import { join } from 'node:path';
import { expect } from 'chai';
import { allMechanisms } from '../../src/scheduling/index.js';
import { readPattern } from '../../tools/replay/pattern.js';
import { play, resolveServedShare } from '../../tools/replay/replay.js';

const SEEDS = [1, 2, 3, 4, 5, 6];

/** Checks that the longest prompts of each kind are served at least half as often as the kind. */
async function expectLongServed(name: string): Promise<void> {
  const pattern = readPattern(join('replay', `${name}.json`)).unwrap();
  for (const seed of SEEDS) {
    const outcome = await play(pattern, { seed, mechanisms: allMechanisms });
    for (const { name: kind } of pattern.kinds) {
      const half = resolveServedShare([outcome], kind) / 2;
      const largestTenth = resolveServedShare([outcome], kind, 0.9, 1);
      const fifthBelow = resolveServedShare([outcome], kind, 0.7, 0.9);
      expect(largestTenth, `${kind}, seed ${seed}: largest tenth`).to.be.at.least(half);
      expect(fifthBelow, `${kind}, seed ${seed}: fifth below`).to.be.at.least(half);
    }
  }
}

describe('long prompts left unserved beside short ones', () => {
  it('are served half as often as their kind while engines and schedulers are lost', async () => {
    await expectLongServed('long-prompts');
  });

  it('are served half as often as their kind in lasting overload', async () => {
    await expectLongServed('long-prompts-overload');
  });
});
