import { join } from 'node:path';
import { expect } from 'chai';
import { allMechanisms, type SchedulingMechanisms } from '../../src/scheduling/index.js';
import { readPattern, type Pattern } from '../../tools/replay/pattern.js';
import { play, resolveServedShare, type Outcome } from '../../tools/replay/replay.js';

const SEEDS = [1, 2, 3, 4, 5, 6];

async function playAll(pattern: Pattern, mechanisms: SchedulingMechanisms): Promise<Outcome[]> {
  const outcomes: Outcome[] = [];
  for (const seed of SEEDS) {
    outcomes.push(await play(pattern, { seed, mechanisms }));
  }
  return outcomes;
}

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
    const outcomes = await playAll(pattern, allMechanisms);
    const without = await playAll(pattern, { ...allMechanisms, sizeShares: false });
    for (const { name: kind, rank } of pattern.kinds) {
      if (rank > 1) continue;
      const loss = resolveServedShare(without, kind) - resolveServedShare(outcomes, kind);
      expect(loss, kind).to.be.below(0.01);
    }
  });

  it('are left unserved without shares for their size', async () => {
    const pattern = readPattern(join('replay', 'long-prompts-overload.json')).unwrap();
    const without = await playAll(pattern, { ...allMechanisms, sizeShares: false });
    const half = resolveServedShare(without, 'dossier') / 2;
    expect(resolveServedShare(without, 'dossier', 0.9, 1)).to.be.below(half);
  });
});
