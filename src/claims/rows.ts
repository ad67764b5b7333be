/** Rows of claimed idempotency keys, which prevent a request from running twice. */
import * as z from 'zod';
import { failureSchema } from '../errors/index.js';

export const storedAnswerSchema = z.object({
  status: z.number().int(),
  contentType: z.string(),
  /** The body in base64, if it is small. */
  body: z.string().optional(),
  /** Key of a larger body in the object store. */
  objectKey: z.string().optional(),
});

/** An answer as stored in the table. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

export const claimRowSchema = z.object({
  /** Unique id of the claim attempt; identifies a claim whose write outcome is unknown. */
  attempt: z.string(),
  node: z.string(),
  incarnation: z.string(),
  requestId: z.string(),
  /** SHA-256 of the request, so that a key cannot be reused for a different request. */
  bodyHash: z.string(),
  /**
   * `claimed`: the node is running the request. `answered`: the answer is stored. `not-run`: provably
   * never sent, so the key may be claimed again. `unknown`: may have run, and is never run again.
   */
  state: z.enum(['claimed', 'answered', 'not-run', 'unknown']),
  answer: storedAnswerSchema.optional(),
  failure: failureSchema.optional(),
  /** Wall-clock time in milliseconds; used only by the sweep, to expire rows after their retention. */
  writtenAt: z.number(),
});

/** One claim. */
export type ClaimRow = z.infer<typeof claimRowSchema>;

/** An idempotency key; each team has its own key space. */
export interface ClaimKey {
  team: string;
  key: string;
}

export const claimRowPrefix = 'claims/';

/**
 * Key of a claim's row.
 *
 * @param claim the team and its idempotency key
 */
export function claimRowKey(claim: ClaimKey): string {
  return `${claimRowPrefix}${claim.team}/${encodeURIComponent(claim.key)}`;
}

/**
 * Parses a claim row; `undefined` if the value is not a claim row.
 *
 * @param value a row's value as read from the table
 */
export function parseClaimRow(value: unknown): ClaimRow | undefined {
  const parsed = claimRowSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
