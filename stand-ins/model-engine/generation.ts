/**
 * One request on its way through an engine.
 */
import {
  countTokens,
  prefixHashes,
  resolvePrefixScope,
  type EngineChunk,
  type EngineRequest,
} from '../../src/ports/index.js';
import { createAnswer, type Answer } from './answer.js';

/** How a request came to its end at an engine. */
export type Ending = 'finished' | 'cancelled' | 'cut';

/** Takes a request's chunks. */
export interface Sink {
  onChunk(chunk: EngineChunk): void;
  onEnd(ending: Ending): void;
}

/** A request that waits or runs. */
export interface Generation {
  readonly request: EngineRequest;
  readonly sink: Sink;
  readonly answer: Answer;
  readonly prefixes: string[];
  readonly promptTokens: number;
  /** Tokens whose KV cache was imported. */
  readonly importedTokens: number;
  /** The index after the last token. */
  readonly end: number;
  /** KV memory that it takes, in tokens. */
  readonly kvTokens: number;
  /** Grows with each request. */
  readonly arrival: number;
  cachedTokens: number;
  /** Tokens still to be read before the first is generated. */
  prefillLeft: number;
  /** Index of the next token. */
  next: number;
  /** False once it has ended. */
  live: boolean;
}

/**
 * Prepares a request.
 *
 * @param request what is asked
 * @param sink where chunks go
 * @param arrival its number
 * @param importedTokens tokens of the KV cache that was imported for it
 */
export function createGeneration(
  request: EngineRequest,
  sink: Sink,
  arrival: number,
  importedTokens: number,
): Generation {
  const { model, adapter, prompt, maxTokens } = request;
  const answer = createAnswer(model, prompt);
  const promptTokens = countTokens(prompt);
  const end = request.prefillOnly ? 0 : Math.min(answer.length, maxTokens);
  return {
    request,
    sink,
    answer,
    prefixes: prefixHashes(prompt, resolvePrefixScope(model, adapter)),
    promptTokens,
    importedTokens,
    end,
    kvTokens: promptTokens + end,
    arrival,
    cachedTokens: 0,
    prefillLeft: promptTokens,
    next: request.resumeFrom,
    live: true,
  };
}

/** Orders requests: lower priority numbers first, then the older ones. */
export function compareGenerations(one: Generation, other: Generation): number {
  return one.request.priority - other.request.priority || one.arrival - other.arrival;
}

/**
 * Makes the chunk of the next token; the last one carries the end. A request without any token left
 * to generate is answered with one empty chunk that carries the end.
 */
export function createChunk(generation: Generation): EngineChunk {
  const { request, answer, next, end } = generation;
  const text = next < end ? answer.token(next) : '';
  const chunk = { requestId: request.requestId, index: next, text };
  if (next + 1 < end) return { ...chunk, finishReason: null };
  return {
    ...chunk,
    finishReason: request.prefillOnly || end === answer.length ? 'stop' : 'length',
    usage: {
      promptTokens: generation.promptTokens,
      cachedTokens: generation.cachedTokens,
      completionTokens: end,
    },
  };
}
