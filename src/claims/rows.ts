/** The rows that keep requests which may not be repeated from running twice. */
import * as z from 'zod';
import { failureSchema } from '../errors/index.js';

export const storedAnswerSchema = z.object({
  status: z.number().int(),
  contentType: z.string(),
  /** The body in base64, when it is small. */
  body: z.string().optional(),
  /** Where the body is in the object store, when it is not. */
  objectKey: z.string().optional(),
});

/** An answer as the table keeps it. */
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

export const claimRowSchema = z.object({
  /** Which attempt claimed the key; settles a claim whose answer was lost. */
  attempt: z.string(),
  node: z.string(),
  incarnation: z.string(),
  requestId: z.string(),
  /** SHA-256 of what was asked, so that a key cannot be used for something else. */
  bodyHash: z.string(),
  /**
   * `claimed`: being run by the node. `answered`: has its answer. `not-run`: provably never sent,
   * so the key may be claimed again. `unknown`: may have run, and is never run again.
   */
  state: z.enum(['claimed', 'answered', 'not-run', 'unknown']),
  answer: storedAnswerSchema.optional(),
  failure: failureSchema.optional(),
  /** Wall clock, for the sweep alone; nothing is decided by it before retention is over. */
  writtenAt: z.number(),
});

/** One claim. */
export type ClaimRow = z.infer<typeof claimRowSchema>;

/** Whose key it is; teams cannot see each other's keys. */
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
 * Reads a claim row; `undefined` when the value is none.
 *
 * @param value a row's value as the table gave it
 */
export function parseClaimRow(value: unknown): ClaimRow | undefined {
  const parsed = claimRowSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
