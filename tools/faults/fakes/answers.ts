/**
 * What the fake servers answer, worked out from the request alone, so that a judge can tell a whole
 * answer of its own from any other.
 */
import { hashName } from '../../../src/gossip/index.js';

const MIN_TOKENS = 3;
const MORE_TOKENS = 8;

/**
 * Number of tokens in the answer to a prompt.
 *
 * @param prompt the prompt
 */
export function tokenCount(prompt: string): number {
  return MIN_TOKENS + (hashName(prompt) % MORE_TOKENS);
}

/**
 * One token of the answer to a prompt.
 *
 * @param prompt the prompt
 * @param index the token's position
 */
export function tokenAt(prompt: string, index: number): string {
  return `${hashName(prompt).toString(36)}.${index} `;
}

/**
 * The whole answer to a prompt.
 *
 * @param prompt the prompt
 */
export function wholeAnswer(prompt: string): string {
  let text = '';
  for (let index = 0; index < tokenCount(prompt); index++) text += tokenAt(prompt, index);
  return text;
}
