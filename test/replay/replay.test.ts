import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { allMechanisms, type SchedulingMechanisms } from '../../src/scheduling/index.js';
import { readPattern, type Pattern } from '../../tools/replay/pattern.js';
import {
  play,
  playSeeds,
  resolveOnTimeShare,
  type Outcome,
  type Tally,
} from '../../tools/replay/replay.js';

const SEEDS = [1, 2, 3, 4, 5, 6];
const LARGE_LOAD_SEEDS = [1, 2];

function load(name: string): Pattern {
  return readPattern(join('replay', `${name}.json`)).unwrap();
}

function playAll(
  pattern: Pattern,
  off: Partial<SchedulingMechanisms> = {},
  seeds: readonly number[] = SEEDS,
) {
  return playSeeds(pattern, seeds, { ...allMechanisms, ...off });
}

function resolveMean(outcomes: readonly Outcome[], kind?: string): number {
  let sum = 0;
  for (const outcome of outcomes) {
    sum += resolveOnTimeShare(outcome, kind);
  }
  return sum / outcomes.length;
}

/** Share of all requests with an outcome. */
function resolveShare(outcomes: readonly Outcome[], key: keyof Tally): number {
  let asked = 0;
  let ended = 0;
  for (const { byKind } of outcomes) {
    for (const tally of byKind.values()) {
      asked += tally.asked;
      ended += tally[key];
    }
  }
  return ended / asked;
}

/** Difference in the on-time share with and without a mechanism. */
async function resolveGain(
  name: string,
  mechanism: keyof SchedulingMechanisms,
  kind: string,
  seeds: readonly number[] = SEEDS,
) {
  const pattern = load(name);
  const on = resolveMean(await playAll(pattern, {}, seeds), kind);
  const off = resolveMean(await playAll(pattern, { [mechanism]: false }, seeds), kind);
  return on - off;
}

describe('replay', () => {
  it('is deterministic for a seed', async () => {
    const pattern = load('swinging-mix');
    const terms = { seed: 7, mechanisms: allMechanisms };
    const [first, second] = [await play(pattern, terms), await play(pattern, terms)];
    expect([...first.byKind]).to.deep.equal([...second.byKind]);
  });

  it('few prefill engines: local prefill raises the on-time share', async () => {
    expect(await resolveGain('few-readers', 'directReads', 'long')).to.be.above(0.04);
  });

  it('long shared parts: cache affinity raises the on-time share', async () => {
    expect(await resolveGain('swinging-mix', 'cacheAffinity', 'long')).to.be.above(0.04);
  });

  it('scheduler lost at the peak: loading cached parts raises the on-time share', async () => {
    expect(await resolveGain('gateways-lost', 'cacheLists', 'long')).to.be.above(0.02);
  });

  it('mixed prompt lengths: deadline order raises the on-time share', async () => {
    expect(await resolveGain('few-readers', 'deadlineOrder', 'long')).to.be.above(0.01);
  });

  it('sustained overload: the latency margin raises the on-time share', async () => {
    const gain = await resolveGain('lasting-overload', 'learntMargin', 'verdict', LARGE_LOAD_SEEDS);
    expect(gain).to.be.above(0.03);
  });

  it('sustained overload: late requests are declined before their callers time out', async () => {
    const pattern = load('lasting-overload');
    const on = await playAll(pattern, {}, LARGE_LOAD_SEEDS);
    const off = await playAll(pattern, { spareTime: false }, LARGE_LOAD_SEEDS);
    expect(resolveShare(on, 'failed')).to.be.below(0.01);
    expect(resolveShare(off, 'failed')).to.be.above(0.03);
  });

  it('engines lost and restored: all requests end, short ones on time', async () => {
    const outcomes = await playAll(load('engine-lost'));
    expect(resolveMean(outcomes, 'short')).to.be.above(0.98);
    expect(resolveShare(outcomes, 'failed')).to.be.below(0.01);
  });

  for (const tokensPerMs of [16, 64, 300, 600]) {
    it(`engines at ${tokensPerMs} tokens/ms: the scaled load is served on time`, async () => {
      const pattern = scale(load('swinging-mix'), tokensPerMs / 64);
      expect(resolveMean(await playAll(pattern))).to.be.above(0.85);
    });
  }
});

/** Scales engine speed, request rate and objectives by the same factor. */
function scale(pattern: Pattern, factor: number): Pattern {
  const { fleet } = pattern;
  const seconds = pattern.seconds / factor;
  return {
    ...pattern,
    seconds,
    fleet: {
      ...fleet,
      tokensPerMs: fleet.tokensPerMs * factor,
      pairsMsPerMillion: fleet.pairsMsPerMillion / factor,
      stepMs: fleet.stepMs / factor,
      linkTokensPerMs: fleet.linkTokensPerMs * factor,
    },
    kinds: pattern.kinds.map((kind) => ({
      ...kind,
      perSecond: kind.perSecond * factor,
      aimMs: Math.max(100, kind.aimMs / factor),
    })),
    spells: pattern.spells.map((spell) => ({
      ...spell,
      fromS: spell.fromS / factor,
      toS: spell.toS / factor,
    })),
  };
}

describe('pattern files', () => {
  function readText(text: string) {
    const folder = mkdtempSync(join(tmpdir(), 'pattern-'));
    const path = join(folder, 'pattern.json');
    writeFileSync(path, text);
    const result = readPattern(path);
    rmSync(folder, { recursive: true });
    return result;
  }

  it('report the invalid field', () => {
    const pattern = load('few-readers');
    const kinds = pattern.kinds.map((kind) => ({ ...kind, perSecond: -1 }));
    const negative = readText(JSON.stringify({ ...pattern, kinds }));
    expect(negative.unwrapErr()).to.contain('kinds.0.perSecond');
    const unknown = readText(JSON.stringify({ ...pattern, speed: 1 }));
    expect(unknown.unwrapErr()).to.contain('speed');
    const spells = [{ kind: 'none', fromS: 0, toS: 1, factor: 2 }];
    expect(readText(JSON.stringify({ ...pattern, spells })).unwrapErr()).to.contain('none');
  });
});
