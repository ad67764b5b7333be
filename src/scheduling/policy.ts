/**
 * The mechanisms by which requests are placed, each of which can be switched off to measure what it is
 * worth, and the figures that are no property of an engine, a mix or a fleet.
 */

import { Err, Ok, type Result } from 'ts-results-es';

/** Mechanisms that can be switched off. */
export interface SchedulingMechanisms {
  /** Engines that generate read prompts themselves where that is sooner. */
  directReads: boolean;
  /** First attempts that will be late wait for what time is left. */
  lateFirstAttempts: boolean;
  /** Waits of late requests, and times to come back, follow the time that is left beside others. */
  spareTime: boolean;
  /** What waits is ordered by deadline; otherwise by arrival. */
  deadlineOrder: boolean;
  /** The engine that reads is chosen by what it has cached; otherwise all seem to have nothing. */
  cacheAffinity: boolean;
  /** A scheduler asks engines that it does not know what they have cached. */
  cacheLists: boolean;
  /** Engines that generating does not need read prompts. */
  demandSplit: boolean;
  /** The margin of what counts as on time follows how far predictions were off. */
  learntMargin: boolean;
}

/**
 * Switches mechanisms off.
 *
 * @param names names of mechanisms, joined by commas; empty for none
 * @returns the first name that is none, with those that there are
 */
export function parseDisabledMechanisms(names: string): Result<SchedulingMechanisms, string> {
  const mechanisms = { ...allMechanisms };
  for (const name of names.split(',')) {
    if (name === '') continue;
    if (!isMechanism(name)) {
      return Err(`${name} is no mechanism; there are ${Object.keys(allMechanisms).join(', ')}`);
    }
    mechanisms[name] = false;
  }
  return Ok(mechanisms);
}

function isMechanism(name: string): name is keyof SchedulingMechanisms {
  return Object.hasOwn(allMechanisms, name);
}

/** Everything on. */
export const allMechanisms: SchedulingMechanisms = {
  directReads: true,
  lateFirstAttempts: true,
  spareTime: true,
  deadlineOrder: true,
  cacheAffinity: true,
  cacheLists: true,
  demandSplit: true,
  learntMargin: true,
};

/** Reads that an engine was given are to take so long at most before it gets another one, in ms: some
 * ways there and back between gateways and their processors' turns, so that it never stands idle
 * while prompts wait, and no more, since what it was given cannot be reordered. */
export const MAX_COMMITTED_MS = 25;
/** What a millisecond of an engine's time weighs against a millisecond until the first event: what is
 * read in vain by one is missing for the next. */
export const ENGINE_TIME_WEIGHT = 1;
/** The same at most, where engines have no time left: prompts still leave an engine whose queue is
 * several reads longer than another's. */
export const MAX_ENGINE_TIME_WEIGHT = 4;
/** What reading in another availability zone weighs, in milliseconds until the first event: the bytes
 * that cross zones are charged. */
export const OTHER_ZONE_PENALTY_MS = 8;
/** How many times the expected time must be left for a request that will be late: waits behind
 * punctual requests vary by as much as they last. */
export const LATE_SAFETY_FACTOR = 2;
/** Part of the longest pause between events that reads at an engine may take from those that generate
 * there: the rest is left for their own steps and for what was not foreseen. */
export const MAX_STALL_SHARE = 0.5;
/** Part of a request's objective that the margin of predictions may take. Without a bound, a spell in
 * which first events come late by more than the objective leaves nothing on time; nothing is then
 * observed that would lower the margin, and everything is late from there on. */
export const MAX_MARGIN_SHARE = 0.25;
