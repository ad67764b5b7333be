/**
 * Answer bodies of OpenAI's HTTP API, for chat and text completions.
 */
import type { EngineChunk } from '../ports/index.js';

/** Token usage in OpenAI's format. */
export interface Usage {
  prompt_tokens: number;
  completion_tokens: number;
  total_tokens: number;
  prompt_tokens_details: { cached_tokens: number };
}

/** What the answers of both shapes have in common. */
export interface Generation {
  requestId: string;
  model: string;
  /** Unix time, in seconds. */
  created: number;
}

/** Creates the answer bodies of one kind of completion. */
export interface AnswerShape {
  chunk(generation: Generation, chunk: EngineChunk): object;
  completion(generation: Generation, text: string, last: EngineChunk): object;
  /** The final chunk, with usage only, which is sent if the caller requested it. */
  usage(generation: Generation, usage: Usage): object;
}

/**
 * Creates the usage of a finished generation.
 *
 * @param last its last chunk
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
