/**
 * Pattern files of the replay: a fleet of engines, the kinds of requests that it is asked for, and
 * what happens while it is. Checked before anything runs; one line names a wrong field.
 */
import { readFileSync } from 'node:fs';
import { Err, Ok, type Result } from 'ts-results-es';
import { z } from 'zod';
import { lengthSchema } from '../bench/settings.js';

const kindSchema = z.strictObject({
  name: z.string(),
  perSecond: z.number().nonnegative(),
  /** Different shared beginnings of its prompts, and their tokens. */
  sharedParts: z.number().int().positive(),
  sharedTokens: lengthSchema,
  ownTokens: lengthSchema,
  outputTokens: lengthSchema,
  aimMs: z.number().positive(),
  deadlineMs: z.number().positive(),
  pauseMs: z.number().positive(),
  rank: z.number().int().min(0).max(9),
});

const fleetSchema = z.strictObject({
  readers: z.number().int().nonnegative(),
  generators: z.number().int().positive(),
  slots: z.number().int().positive(),
  cacheTokens: z.number().positive(),
  /** Prompt tokens that an engine reads in a millisecond. */
  tokensPerMs: z.number().positive(),
  /** Milliseconds for a million pairs of a token with one before it. */
  pairsMsPerMillion: z.number().nonnegative(),
  /** Fixed part of a read, in ms. */
  firstMs: z.number().nonnegative(),
  /** A step that generates one token for each running request: fixed, and for each request, in ms. */
  stepMs: z.number().positive(),
  stepMsPerRequest: z.number().nonnegative(),
  /** Tokens in one event of a stream. */
  tokensPerEvent: z.number().int().positive(),
  /** Prompt tokens that an engine which generates reads in one step. */
  chunkTokens: z.number().positive(),
  /** Tokens of KV cache that a link moves in a millisecond. */
  linkTokensPerMs: z.number().positive(),
});

const spellSchema = z.strictObject({
  kind: z.string(),
  fromS: z.number().nonnegative(),
  toS: z.number().positive(),
  factor: z.number().nonnegative(),
});

const eventSchema = z.discriminatedUnion('what', [
  /** An engine ends and comes back empty, or not. */
  z.strictObject({
    what: z.literal('engine-lost'),
    atS: z.number().nonnegative(),
    engine: z.string(),
    backAfterS: z.number().positive().optional(),
  }),
  /** An engine names a limit in its answers for a while, in requests a second. */
  z.strictObject({
    what: z.literal('engine-limited'),
    atS: z.number().nonnegative(),
    engine: z.string(),
    perSecond: z.number().nonnegative(),
    untilS: z.number().positive(),
  }),
  /** The scheduler ends with all it knows; another one begins. */
  z.strictObject({ what: z.literal('scheduler-lost'), atS: z.number().nonnegative() }),
]);

const patternSchema = z.strictObject({
  name: z.string(),
  seconds: z.number().positive(),
  fleet: fleetSchema,
  kinds: z.array(kindSchema).min(1),
  spells: z.array(spellSchema).default([]),
  events: z.array(eventSchema).default([]),
});

/** A pattern of load. */
export type Pattern = z.infer<typeof patternSchema>;
/** A kind of requests. */
export type Kind = z.infer<typeof kindSchema>;
/** A fleet of engines. */
export type EmulatedFleet = z.infer<typeof fleetSchema>;
/**
 * Reads a pattern file.
 *
 * @param path the file
 * @returns what is wrong with it, in one line
 */
export function readPattern(path: string): Result<Pattern, string> {
  let document: unknown;
  try {
    document = JSON.parse(readFileSync(path, 'utf8'));
  } catch (error) {
    return Err(`${path}: ${String(error)}`);
  }
  const parsed = patternSchema.safeParse(document);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    return Err(`${path}: ${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'unreadable'}`);
  }
  const names = new Set(parsed.data.kinds.map(({ name }) => name));
  for (const { kind } of parsed.data.spells) {
    if (!names.has(kind)) return Err(`${path}: spells: no kind is named ${kind}`);
  }
  return Ok(parsed.data);
}
