/**
 * The answers that engines give. An answer follows from model and prompt alone, so that a caller's
 * whole answer can be checked without asking an engine, and any engine can resume it.
 *
 * A prompt that contains `[[answer:N]]` is answered with N tokens; others with 16 to 63.
 */
import { createHash } from 'node:crypto';

/** An answer, before it is cut to the length that was asked for. */
export interface Answer {
  /** Its natural length, in tokens. */
  readonly length: number;
  /** The text of a token; all but the first begin with a space. */
  token(index: number): string;
}

/** What a caller is to receive. */
export interface ExpectedAnswer {
  tokens: string[];
  /** The tokens put together. */
  text: string;
  finishReason: 'stop' | 'length';
}

const LENGTH_MARK = /\[\[answer:(\d+)\]\]/;
const MIN_LENGTH = 16;
const LENGTH_SPREAD = 48;

const syllables = ['ba', 'de', 'fi', 'go', 'ku', 'la', 'me', 'ni', 'po', 'ru', 'sa', 'te', 'vi'];

/**
 * Derives the answer to a prompt.
 *
 * @param model the model's name
 * @param prompt the whole prompt
 */
export function createAnswer(model: string, prompt: string): Answer {
  const digest = createHash('sha1').update(model).update('\n').update(prompt).digest();
  const seed = digest.readUInt32LE(0);
  const mark = LENGTH_MARK.exec(prompt)?.[1];
  const length = mark === undefined ? MIN_LENGTH + (seed % LENGTH_SPREAD) : Number(mark);
  return {
    length: Math.max(1, length),
    token: (index) => (index === 0 ? '' : ' ') + spell(mix(seed, index)),
  };
}

/**
 * Works out what a caller is to receive.
 *
 * @param model the model's name
 * @param prompt the whole prompt
 * @param maxTokens the length that was asked for
 */
export function expectedAnswer(model: string, prompt: string, maxTokens: number): ExpectedAnswer {
  const answer = createAnswer(model, prompt);
  const length = Math.min(answer.length, maxTokens);
  const tokens: string[] = [];
  for (let index = 0; index < length; index += 1) tokens.push(answer.token(index));
  const finishReason = length === answer.length ? 'stop' : 'length';
  return { tokens, text: tokens.join(''), finishReason };
}

/** The finaliser of MurmurHash3, over the seed and a position. */
function mix(seed: number, index: number): number {
  let hash = (seed ^ Math.imul(index + 1, 0x9e3779b1)) >>> 0;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

function spell(number: number): string {
  let rest = number;
  let word = '';
  for (let count = 0; count < 4; count += 1) {
    word += syllables[rest % syllables.length] ?? '';
    rest = Math.floor(rest / syllables.length);
  }
  return word;
}
