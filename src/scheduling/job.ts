/**
 * Types of a request that gateways and schedulers exchange.
 */
import * as z from 'zod';

export const jobSchema = z.object({
  /** Identifies the request at the scheduler; prefixed with the gateway's name. */
  id: z.string(),
  service: z.string(),
  /** The caller's id of the request, for logs. */
  requestId: z.string(),
  prompt: z.object({
    model: z.string(),
    parts: z.array(z.object({ id: z.string(), tokens: z.number() })).readonly(),
    tokens: z.number(),
    maxOutputTokens: z.number(),
  }),
  /** Rank of its route; engines admit requests of rank 0 first. */
  rank: z.number().default(0),
  /** Inter-token latency objective, in milliseconds between two events. */
  pauseMs: z.number().default(Number.POSITIVE_INFINITY),
  /** Time left until the first event misses its objective when this was sent, in milliseconds. */
  aimLeftMs: z.number(),
  /** Time left until the deadline when this was sent, in milliseconds. */
  timeLeftMs: z.number(),
  /** Time since the request arrived when this was sent, in milliseconds. */
  elapsedMs: z.number().default(0),
  /** The caller retries after it was refused. */
  isReturn: z.boolean(),
  /** The prefill is complete; only a decode engine is needed. */
  isRead: z.boolean(),
  /** The software version of the engines that may serve it; absent if any may. */
  version: z.string().optional(),
  /** The gateway's availability zone. */
  zone: z.string(),
  /** Engines that have failed this request; they are not used again. */
  excluded: z.array(z.string()).readonly(),
  /** Engines that have asked the gateway for a pause; they are not used meanwhile. */
  paused: z.array(z.string()).readonly().default([]),
  /** Engines that the gateway avoids; they are used if there is no other. */
  avoided: z.array(z.string()).readonly().default([]),
});

/** A request for engines. */
export type Job = z.infer<typeof jobSchema>;

/** Whether a request's stream has begun, so that only engines of one software version can serve it. */
export function isBound({ version }: Job): boolean {
  return version !== undefined;
}

/**
 * The rank at which a request competes for places and turns. One that is bound has fewer places to go to
 * than others and its caller holds a part of the answer, so it goes with the most urgent.
 */
export function resolvePlaceRank(job: Job): number {
  return isBound(job) ? 0 : job.rank;
}

export const placementSchema = z.object({
  /** The prefill engine; absent if the decode engine does the prefill. */
  reader: z.string().optional(),
  /** The decode engine. */
  generator: z.string(),
  /** Estimated time until the prefill engine has finished the prefill and those assigned before it, if
   * nothing of them is cached, in milliseconds; absent without latency samples. */
  expectedReadMs: z.number().optional(),
});

/** The engines assigned to a request. */
export type EnginePlacement = z.infer<typeof placementSchema>;

/** Why a request was declined. */
export type DeclineReason = 'no-engine' | 'cannot-be-on-time' | 'cancelled';

/** A scheduler's decision on a request. */
export type Decision =
  | { kind: 'placed'; placement: EnginePlacement }
  | { kind: 'declined'; reason: DeclineReason; retryAfterMs: number; backlogMs: number };
