/**
 * The requests of a pattern, from a seed alone.
 */
import type { Prompt } from '../../src/scheduling/prompt.js';
import { createSeededRandom, type RandomSource } from '../../src/task/index.js';
import { drawLength } from '../bench/arrivals.js';
import type { Kind, Pattern } from './pattern.js';

const MS_PER_SECOND = 1_000;

/** One request of a caller. */
export interface Arrival {
  id: string;
  atMs: number;
  kind: Kind;
  prompt: Prompt;
}

/**
 * Lists the requests of a pattern in the order of their times.
 *
 * @param pattern the pattern
 * @param seed any integer
 */
export function listArrivals(pattern: Pattern, seed: number): Arrival[] {
  const arrivals: Arrival[] = [];
  for (const [index, kind] of pattern.kinds.entries()) {
    addArrivals(arrivals, pattern, kind, createSeededRandom(seed * pattern.kinds.length + index));
  }
  return arrivals.sort((left, right) => left.atMs - right.atMs);
}

function addArrivals(
  arrivals: Arrival[],
  pattern: Pattern,
  kind: Kind,
  random: RandomSource,
): void {
  const shared = Array.from({ length: kind.sharedParts }, () =>
    drawLength(kind.sharedTokens, random),
  );
  let at = 0;
  for (let count = 0; ; count += 1) {
    const rate = kind.perSecond * resolveFactor(pattern, kind.name, at / MS_PER_SECOND);
    at += (-Math.log(1 - random.next()) / rate) * MS_PER_SECOND;
    if (!(at < pattern.seconds * MS_PER_SECOND)) return;
    const id = `${kind.name}-${count}`;
    arrivals.push({ id, atMs: at, kind, prompt: drawPrompt(id, kind, shared, random) });
  }
}

function resolveFactor(pattern: Pattern, kind: string, atS: number): number {
  let factor = 1;
  for (const spell of pattern.spells) {
    if (spell.kind === kind && atS >= spell.fromS && atS < spell.toS) factor *= spell.factor;
  }
  return factor;
}

function drawPrompt(
  id: string,
  kind: Kind,
  shared: readonly number[],
  random: RandomSource,
): Prompt {
  const part = Math.floor(random.next() * shared.length);
  const sharedTokens = shared[part] ?? 0;
  const ownTokens = drawLength(kind.ownTokens, random);
  return {
    model: 'm',
    parts: [
      { id: `${kind.name}/shared-${part}`, tokens: sharedTokens },
      { id, tokens: ownTokens },
    ],
    tokens: sharedTokens + ownTokens,
    maxOutputTokens: drawLength(kind.outputTokens, random),
  };
}
