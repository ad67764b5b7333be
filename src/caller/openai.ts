/**
 * The shapes of OpenAI's published HTTP interface, for both kinds of generation.
 */
import type { EngineChunk } from '../ports/index.js';

/** Usage as OpenAI's clients read it. */
export interface Usage {
  prompt_tokens: number;
  completion_tokens: number;
  total_tokens: number;
  prompt_tokens_details: { cached_tokens: number };
}

/** What an answer is made of, whichever its shape. */
export interface Generation {
  requestId: string;
  model: string;
  /** Seconds since 1970, as the interface wants it. */
  created: number;
}

/** Writes one kind of answer. */
export interface AnswerShape {
  chunk(generation: Generation, chunk: EngineChunk): object;
  completion(generation: Generation, text: string, last: EngineChunk): object;
  /** The chunk with usage alone that follows the last one, where the caller asked for it. */
  usage(generation: Generation, usage: Usage): object;
}

/**
 * Usage of a finished generation.
 *
 * @param last the chunk that ended it
 */
export function createUsage(last: EngineChunk): Usage {
  const promptTokens = last.usage?.promptTokens ?? 0;
  const completionTokens = last.index + 1;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
    prompt_tokens_details: { cached_tokens: last.usage?.cachedTokens ?? 0 },
  };
}

function head(generation: Generation, object: string) {
  const { requestId, created, model } = generation;
  return { id: requestId, object, created, model };
}

/** Answers of `/v1/chat/completions`. */
export class ChatShape implements AnswerShape {
  chunk(generation: Generation, chunk: EngineChunk): object {
    const role = chunk.index === 0 ? { role: 'assistant' } : {};
    const delta = { ...role, content: chunk.text };
    const choices = [{ index: 0, delta, finish_reason: chunk.finishReason }];
    return { ...head(generation, 'chat.completion.chunk'), choices };
  }

  completion(generation: Generation, text: string, last: EngineChunk): object {
    const message = { role: 'assistant', content: text, refusal: null };
    const choices = [{ index: 0, message, logprobs: null, finish_reason: last.finishReason }];
    return { ...head(generation, 'chat.completion'), choices, usage: createUsage(last) };
  }

  usage(generation: Generation, usage: Usage): object {
    return { ...head(generation, 'chat.completion.chunk'), choices: [], usage };
  }
}

/** Answers of `/v1/completions`. */
export class TextShape implements AnswerShape {
  chunk(generation: Generation, chunk: EngineChunk): object {
    const finish = chunk.finishReason;
    const choices = [{ index: 0, text: chunk.text, logprobs: null, finish_reason: finish }];
    return { ...head(generation, 'text_completion'), choices };
  }

  completion(generation: Generation, text: string, last: EngineChunk): object {
    const choices = [{ index: 0, text, logprobs: null, finish_reason: last.finishReason }];
    return { ...head(generation, 'text_completion'), choices, usage: createUsage(last) };
  }

  usage(generation: Generation, usage: Usage): object {
    return { ...head(generation, 'text_completion'), choices: [], usage };
  }
}
