/**
 * What gateways and the scheduler of a service say to each other about one request.
 */
import * as z from 'zod';

export const jobSchema = z.object({
  /** Names the request at the scheduler; the gateway's name is part of it. */
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
  /** Longest pause between two events within which the answer is on time, in milliseconds. */
  pauseMs: z.number().default(Number.POSITIVE_INFINITY),
  /** Time until the first event is late, in milliseconds from when this was sent. */
  aimLeftMs: z.number(),
  /** Time until the answer is of no use, in milliseconds from when this was sent. */
  timeLeftMs: z.number(),
  /** The caller was refused before and came back. */
  isReturn: z.boolean(),
  /** The prompt was read already; only an engine that generates is wanted. */
  isRead: z.boolean(),
  /** Where the gateway is. */
  zone: z.string(),
  /** Engines that this request was already sent to in vain. */
  excluded: z.array(z.string()).readonly(),
  /** Engines that its gateway leaves alone for now; they are used where there are no others. */
  avoided: z.array(z.string()).readonly().default([]),
});

/** A request that asks for engines. */
export type Job = z.infer<typeof jobSchema>;

export const placementSchema = z.object({
  /** The engine that reads the prompt; absent where the generating engine reads it itself. */
  reader: z.string().optional(),
  /** The engine that generates. */
  generator: z.string(),
  /** How long the reader is expected to take, with what it was given before, in milliseconds; absent
   * while nothing is known of its pace. */
  expectedReadMs: z.number().optional(),
});

/** Engines for one request. */
export type EnginePlacement = z.infer<typeof placementSchema>;

/** Why a request gets no engines. */
export type DeclineReason = 'no-engine' | 'cannot-be-on-time' | 'cancelled';

/** What a scheduler decides on a request. */
export type Decision =
  | { kind: 'placed'; placement: EnginePlacement }
  | { kind: 'declined'; reason: DeclineReason; retryAfterMs: number; backlogMs: number };
