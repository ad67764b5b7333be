import { join } from 'node:path';
import { expect } from 'chai';
import { allMechanisms } from '../../src/scheduling/index.js';
import { readPattern } from '../../tools/replay/pattern.js';
import { play, playSeeds, resolveServedShare } from '../../tools/replay/replay.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
const withoutShares = { ...allMechanisms, sizeShares: false };

/** Checks that the longest prompts of each kind are served at least half as often as the kind. */
async function expectLongServed(name: string, seeds: readonly number[] = SEEDS): Promise<void> {
  const pattern = readPattern(join('replay', `${name}.json`)).unwrap();
  for (const seed of seeds) {
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

  it('are served half as often as their kind with the seed that was found last', async () => {
    await expectLongServed('long-prompts', [102]);
  });

  it('are served without a loss to more urgent kinds', async () => {
    const pattern = readPattern(join('replay', 'long-prompts-overload.json')).unwrap();
    const outcomes = await playSeeds(pattern, SEEDS, allMechanisms);
    const without = await playSeeds(pattern, SEEDS, withoutShares);
    for (const { name: kind, rank } of pattern.kinds) {
      if (rank > 1) continue;
      const loss = resolveServedShare(without, kind) - resolveServedShare(outcomes, kind);
      expect(loss, kind).to.be.below(0.01);
    }
  });

  it('are left unserved without shares for their size', async () => {
    const pattern = readPattern(join('replay', 'long-prompts-overload.json')).unwrap();
    const without = await playSeeds(pattern, SEEDS, withoutShares);
    const half = resolveServedShare(without, 'dossier') / 2;
    expect(resolveServedShare(without, 'dossier', 0.9, 1)).to.be.below(half);
  });
});
