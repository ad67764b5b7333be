/**
 * Mechanisms of the scheduler, each of which can be disabled to measure its effect, and tuning
 * constants that don't depend on the engines, the traffic or the fleet.
 */

import { Err, Ok, type Result } from 'ts-results-es';

/** Mechanisms that can be disabled. */
export interface SchedulingMechanisms {
  /** Decode engines do prefills themselves if that is sooner (local prefill). */
  directReads: boolean;
  /** First attempts that will miss their objective may wait for spare capacity. */
  lateFirstAttempts: boolean;
  /** Waits of late requests and Retry-After take the spare capacity into account. */
  spareTime: boolean;
  /** Prefill queues are ordered by deadline; otherwise by arrival. */
  deadlineOrder: boolean;
  /** The choice of the prefill engine takes cached parts into account. */
  cacheAffinity: boolean;
  /** A scheduler loads the cached parts of engines that are new to it. */
  cacheLists: boolean;
  /** Engines that are not needed for decoding do prefills. */
  demandSplit: boolean;
  /** Long prompts have room reserved if their size is served less often than others. */
  sizeShares: boolean;
  /** The margin of latency estimates follows their observed error. */
  learntMargin: boolean;
}

/**
 * Parses the mechanisms to disable.
 *
 * @param names comma-separated names of mechanisms; empty for none
 * @returns all mechanisms, or an error that contains the first unknown name and the known ones
 */
export function parseDisabledMechanisms(names: string): Result<SchedulingMechanisms, string> {
  const mechanisms = { ...allMechanisms };
  for (const name of names.split(',')) {
    if (name === '') continue;
    if (!isMechanism(name)) {
      return Err(`unknown mechanism ${name}; known are ${Object.keys(allMechanisms).join(', ')}`);
    }
    mechanisms[name] = false;
  }
  return Ok(mechanisms);
}

function isMechanism(name: string): name is keyof SchedulingMechanisms {
  return Object.hasOwn(allMechanisms, name);
}

/** All mechanisms enabled. */
export const allMechanisms: SchedulingMechanisms = {
  directReads: true,
  lateFirstAttempts: true,
  spareTime: true,
  deadlineOrder: true,
  cacheAffinity: true,
  cacheLists: true,
  demandSplit: true,
  sizeShares: true,
  learntMargin: true,
};

/** An engine gets the next prefill once its assigned ones take less than this, in ms: enough that it
 * never idles while prompts wait, and short since assigned prefills can't be reordered. */
export const COMMITTED_MS = 25;
/** Weight of engine time relative to time to the first token in an engine's cost: time that one request
 * wastes is missing for the next. */
export const ENGINE_TIME_WEIGHT = 1;
/** Upper bound of the weight as spare capacity decreases, so that prompts still move away from an
 * engine whose queue is several prefills longer. */
export const MAX_ENGINE_TIME_WEIGHT = 4;
/** Cost of a prefill in another availability zone, as milliseconds until the first event; traffic
 * between zones is charged. */
export const OTHER_ZONE_PENALTY_MS = 8;
/** A late request is admitted only if its deadline allows this multiple of the estimated time, since
 * the delay behind requests with priority varies widely. */
export const LATE_SAFETY_FACTOR = 2;
/** Share of the inter-token latency objective that local prefills may use; the rest is left for the
 * decode steps. */
export const STALL_SHARE = 0.5;
/** Share of a request's objective that the margin may use. Without this bound, a period of large errors
 * could make every request late; with none admitted as on time, no observation would reduce the
 * margin again. */
export const MAX_MARGIN_SHARE = 0.25;
/** Share of the time until its deadline within which a request with a reservation gets its first event;
 * the rest is for decoding. */
export const RESERVED_OBJECTIVE_SHARE = 0.75;
