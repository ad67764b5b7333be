/**
 * Settings of the engine's stand-in. The constants of `model` say how long work takes; those here
 * are round figures for quick tests, and a bench gives its own with their source.
 */
import { z } from 'zod';
import { roleSchema } from '../../src/ports/index.js';
import { commonFaults, commonSettings, createFaultSchema } from '../common/index.js';

export const serviceTimesSchema = z.strictObject({
  /** Time of a step in which nothing is done, in milliseconds. */
  stepBaseMs: z.number().nonnegative().default(8),
  /** Time that each request which generates adds to a step, in milliseconds. */
  perSequenceMs: z.number().nonnegative().default(0.25),
  /** Rate at which prompts are read within a step. */
  prefillTokensPerSecond: z.number().positive().default(16_000),
  /** Most prompt tokens read in one step. */
  prefillChunkTokens: z.number().int().positive().default(512),
  /** Requests that run at once. */
  maxBatch: z.number().int().positive().default(32),
  /** Requests that wait; more are declined. */
  maxWaiting: z.number().int().nonnegative().default(8),
  /** KV memory, in tokens. */
  kvTokensTotal: z.number().int().positive().default(131_072),
  /** Tokens of prompt prefixes that stay cached besides. */
  cacheTokens: z.number().int().nonnegative().default(65_536),
  roleChangeMs: z.number().nonnegative().default(3_000),
  /** Time to load one model. */
  modelLoadMs: z.number().nonnegative().default(5_000),
  /** Time to load one adapter. */
  adapterLoadMs: z.number().nonnegative().default(1_000),
  /** Time of an order that only unloads. */
  unloadMs: z.number().nonnegative().default(200),
  /** Time between two load reports. */
  reportEveryMs: z.number().positive().default(250),
  /** Age of the newest report that is shown. */
  reportLagMs: z.number().nonnegative().default(250),
  /** Time until a cache event is shown. */
  cacheEventLagMs: z.number().nonnegative().default(200),
  /** Share of cache events that get lost. */
  cacheEventLoss: z.number().min(0).max(1).default(0),
  /** Time to import the KV cache of a thousand tokens. */
  kvImportMsPerKiloToken: z.number().nonnegative().default(2),
  /** How long a KV cache waits to be exported, or used after its import. */
  kvKeptMs: z.number().positive().default(10_000),
});

/** How long an engine's work takes, and what it has room for. */
export type ServiceTimes = z.infer<typeof serviceTimesSchema>;

export const modelEngineStandInSettingsSchema = z.strictObject({
  kind: z.literal('model-engine').default('model-engine'),
  ...commonSettings,
  id: z.string().default('engine'),
  role: roleSchema.default('mixed'),
  models: z.array(z.string()).default(['model']),
  adapters: z.array(z.string()).default([]),
  /** Whether orders with an old fencing number are refused. */
  checksFence: z.boolean().default(true),
  seed: z.number().int().default(1),
  model: serviceTimesSchema.prefault({}),
});

/** Settings as a person writes them. */
export type ModelEngineStandInSettings = z.input<typeof modelEngineStandInSettingsSchema>;

/** Settings with their defaults. */
export type ModelEngineSettings = z.infer<typeof modelEngineStandInSettingsSchema>;

const chunks = z.number().int().positive();
const afterTokens = z.number().int().nonnegative();

export const modelEngineFaultSchema = z.discriminatedUnion('kind', [
  ...commonFaults,
  /** Ends a stream in good order, but without its last chunk and end mark. */
  createFaultSchema('stop-mid-stream', { afterTokens }),
  /** Breaks the connection of a stream. */
  createFaultSchema('break-mid-stream', { afterTokens }),
  /** Sends no more on a stream and leaves it open. */
  createFaultSchema('stall', { afterTokens }),
  /**
   * Gives the first `chunks` chunks of a stream the id of another request: in place of the right
   * ones, or before them with another text.
   */
  createFaultSchema('wrong-request-id', {
    chunks,
    /** `replace` when absent. */
    mode: z.enum(['replace', 'inject']).optional(),
  }),
  /** Sends the first `chunks` chunks of a stream twice. */
  createFaultSchema('duplicate-chunk', { chunks }),
  /** Makes every step this many times as long until faults are cleared. */
  createFaultSchema('slow', { factor: z.number().positive() }),
  /** Loses everything and starts anew after `downMs`, or at once, as another incarnation. */
  createFaultSchema('crash', { downMs: z.number().nonnegative().optional() }),
]);

/** A fault of an engine. */
export type ModelEngineFault = z.infer<typeof modelEngineFaultSchema>;
