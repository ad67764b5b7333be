/**
 * The texts of requests, made from seeds: an extract is the same whenever it is asked about, and
 * everything else is a request's own.
 */
import { createSeededRandom } from '../../src/task/index.js';
import type { Arrival } from './arrivals.js';
import type { Experiment } from './settings.js';
import { drawLength } from './arrivals.js';

/** Makes prompts. */
export interface Texts {
  promptOf(arrival: Arrival): string;
}

const EXTRACT_SEED = 1_000_003;
const PREAMBLE_SEED = 2_000_003;
const LETTERS = 'abcdefghilmnoprstuv';
const WORD_LETTERS = 5;

/**
 * Prepares the extracts and preambles of a run.
 *
 * @param experiment the settings
 * @param seed the run's seed
 */
export function createTexts(experiment: Experiment, seed: number): Texts {
  const { extracts, workedAnswer } = experiment.workload;
  const texts: string[] = [];
  for (let index = 0; index < extracts.count; index++) {
    const random = createSeededRandom(EXTRACT_SEED + seed * extracts.count + index);
    const words = drawLength(extracts.words, random);
    texts.push(createWords(EXTRACT_SEED + index, words));
  }
  const preamble = createWords(PREAMBLE_SEED + seed, workedAnswer.preambleWords);

  return {
    promptOf(arrival) {
      const opening = arrival.class === 'verdict' ? (texts[arrival.extract] ?? '') : preamble;
      const question = createWords(arrival.textSeed, arrival.questionWords);
      return `${opening} ${question} [[answer:${arrival.outputTokens}]]`;
    },
  };
}

function createWords(seed: number, count: number): string {
  const random = createSeededRandom(seed);
  const words: string[] = [];
  for (let index = 0; index < count; index++) {
    words.push(createWord(Math.floor(random.next() * LETTERS.length ** WORD_LETTERS)));
  }
  return words.join(' ');
}

function createWord(number: number): string {
  let rest = number;
  let word = '';
  for (let index = 0; index < WORD_LETTERS; index++) {
    word += LETTERS[rest % LETTERS.length] ?? '';
    rest = Math.floor(rest / LETTERS.length);
  }
  return word;
}
