/**
 * What became of one request, as its caller saw it.
 */
import { z } from 'zod';

export const resultSchema = z.enum([
  /** Whole, the request's own, and on time. */
  'good',
  'late-first-token',
  'late-between-tokens',
  'late-whole',
  /** Answered as finished, but not with the request's answer. */
  'wrong',
  /** Said to be not run. */
  'refused',
  /** Failed or cut in any other way. */
  'failed',
]);

/** How a request ended. */
export type OutcomeResult = z.infer<typeof resultSchema>;

export const outcomeSchema = z.object({
  id: z.number().int(),
  team: z.string(),
  isLarge: z.boolean(),
  class: z.enum(['verdict', 'worked-answer', 'service-call']),
  /** When it was to be sent, in milliseconds since the run began. */
  atMs: z.number(),
  /** How much later it was sent. */
  latenessMs: z.number(),
  result: resultSchema,
  /** The failure's code and step, where it has them. */
  reason: z.string(),
  /** Absent when no token came. */
  firstTokenMs: z.number().optional(),
  totalMs: z.number(),
  /** Times between two tokens, in milliseconds. */
  gapsMs: z.array(z.number()),
  promptTokens: z.number(),
  cachedTokens: z.number(),
});

/** What became of one request. */
export type Outcome = z.infer<typeof outcomeSchema>;

/** What a load generator gives back. */
export interface GeneratorReport {
  outcomes: Outcome[];
  /** Processor time as a share of one core. */
  cpuShare: number;
  /** The 99th percentile of its event loop's delay, in milliseconds. */
  loopDelayMs: number;
}
