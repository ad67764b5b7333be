/**
 * The settings of experiments, read from `bench/`: the constants of the stand-ins, the work that is
 * offered, and the two deployments. Types are inferred from the schemas.
 */
import { z } from 'zod';
import { readJson } from '../../src/settings/index.js';
import { serviceTimesSchema } from '../../stand-ins/model-engine/settings.js';

/** A lognormal length, clamped. */
export const lengthSchema = z.strictObject({
  median: z.number().positive(),
  sigma: z.number().nonnegative(),
  min: z.number().int().positive(),
  max: z.number().int().positive(),
});

/** How long something is, as a distribution. */
export type Length = z.infer<typeof lengthSchema>;

export const standInTimesSchema = z.strictObject({
  /** Where the constants come from. */
  source: z.string(),
  model: serviceTimesSchema,
  service: z.strictObject({
    maxConcurrency: z.number().int().positive(),
    serviceMs: z.number().positive(),
    serviceSpreadMs: z.number().nonnegative(),
  }),
});

/** Constants of the stand-ins. */
export type StandInTimes = z.infer<typeof standInTimesSchema>;

export const workloadSchema = z.strictObject({
  note: z.string(),
  /** How many times faster than in reality the mix swings. */
  scale: z.number().positive(),
  /** Length of one phase as run. */
  phaseSeconds: z.number().positive(),
  /** Mixes that follow each other, again and again. */
  phases: z.array(z.strictObject({ verdictShare: z.number().min(0).max(1) })).min(1),
  /** Each team's arrivals are this many times denser in bursts, which take this share of time. */
  burst: z.strictObject({
    factor: z.number().min(1),
    meanSeconds: z.number().positive(),
    share: z.number().min(0).max(0.5),
  }),
  serviceCallsPerSecond: z.number().nonnegative(),
  /** Extracts of the manual or the standards that many prompts begin with. */
  extracts: z.strictObject({
    count: z.number().int().positive(),
    zipfExponent: z.number().nonnegative(),
    words: lengthSchema,
  }),
  verdict: z.strictObject({
    questionWords: lengthSchema,
    outputTokens: lengthSchema,
    maxTokens: z.number().int().positive(),
  }),
  workedAnswer: z.strictObject({
    /** Words that all worked answers of one team begin with. */
    preambleWords: z.number().int().nonnegative(),
    questionWords: lengthSchema,
    outputTokens: lengthSchema,
    maxTokens: z.number().int().positive(),
  }),
});

/** The work that is offered. */
export type Workload = z.infer<typeof workloadSchema>;

const classTimesSchema = z.strictObject({
  priority: z.number().int(),
  firstTokenMs: z.number().positive(),
  betweenTokensMs: z.number().positive().default(500),
  deadlineMs: z.number().positive(),
  expectedOutputTokens: z.number().int().positive().default(1),
});

/** What being on time means for a class. */
export type ClassTimes = z.infer<typeof classTimesSchema>;

export const deploymentSchema = z.strictObject({
  model: z.string(),
  zones: z.array(z.string()).min(1),
  nodes: z.number().int().positive(),
  engines: z.strictObject({
    service: z.string(),
    count: z.number().int().positive(),
    /** Stand-ins in one process. */
    perProcess: z.number().int().positive(),
  }),
  workers: z.strictObject({ service: z.string(), count: z.number().int().positive() }),
  teams: z.strictObject({
    /** Weight of the one large team; small ones have 1. */
    largeWeight: z.number().positive(),
    smallCount: z.number().int().positive(),
  }),
  classes: z.strictObject({
    verdict: classTimesSchema,
    workedAnswer: classTimesSchema,
    serviceCall: classTimesSchema,
  }),
  /** Share of an extract's tokens that good placement finds cached; `--capacity` reckons it. */
  cachedExtractShare: z.number().min(0).max(1),
  /** The operator's weight between goodput and role changes. */
  changeCost: z.number().nonnegative(),
});

/** One user's deployment. */
export type Deployment = z.infer<typeof deploymentSchema>;

/** Everything that an experiment is made of. */
export interface Experiment {
  deployment: Deployment;
  workload: Workload;
  times: StandInTimes;
}

/**
 * Reads the settings of an experiment; throws when a file is wrong.
 *
 * @param deployment `tema` or `association`
 * @param phaseSeconds length of a phase of the mix, in place of the workload's own
 */
export function loadExperiment(deployment: string, phaseSeconds?: number): Experiment {
  const workload = workloadSchema.parse(readJson('bench/workload.json').unwrap());
  return {
    deployment: deploymentSchema.parse(readJson(`bench/${deployment}.json`).unwrap()),
    workload: { ...workload, phaseSeconds: phaseSeconds ?? workload.phaseSeconds },
    times: standInTimesSchema.parse(readJson('bench/service-times.json').unwrap()),
  };
}
