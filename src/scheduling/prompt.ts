/**
 * Prompts as schedulers see them: a sequence of parts with token counts. Requests share parts; an
 * engine that has a part and all parts before it cached does not prefill them again.
 */

/** A part of a prompt. */
export interface PromptPart {
  /** The same in all prompts that contain this part. */
  id: string;
  tokens: number;
}

/** The prompt of a request. */
export interface Prompt {
  model: string;
  /** In order; the last one belongs to the request or to its session. */
  parts: readonly PromptPart[];
  /** Tokens of all parts together. */
  tokens: number;
  maxOutputTokens: number;
}
