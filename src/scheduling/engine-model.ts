/**
 * One engine as its scheduler follows it from the outside: what it works on, what it probably has
 * cached, and by how much it differs from the others.
 */
import type { EngineRole } from '../fleet/index.js';
import { createCacheModel } from './cache-model.js';
import type { CachedPart } from './cached-parts.js';
import { resolvePrefillWork, type Work } from './latency-model.js';
import type { LatencyModels } from './latency-models.js';
import type { Prompt } from './prompt.js';
import { createSerialWork, type SerialWork } from './serial-work.js';

/** Weight of the newest read in an engine's factor: a slow engine is known after some four reads. */
const FACTOR_WEIGHT = 0.3;
/** A read counts as at most so many times as long as expected, and as at least the inverse. */
const MOST_FACTOR = 8;
/** An engine counts as like the others unless it takes so many times as long, or the inverse: smaller
 * differences are chance, and would send prompts past the engines that have their parts cached. */
const ODD_FACTOR = 1.6;
/** Reads that were expected to take less than this say little of the engine, in ms: ways between
 * gateways make up much of them. */
const LEAST_TELLING_MS = 5;

/** One engine. */
export interface EngineModel {
  readonly id: string;
  /** Reads that it was given. */
  readonly prefills: SerialWork;
  /** Prompts that it fetches from other engines. */
  readonly transfers: SerialWork;
  /** Time that reading a prompt would take it, in milliseconds; 0 while its pace is unknown. */
  estimatePrefillMs(role: EngineRole, prompt: Prompt): number;
  /**
   * Time for which it reads or has read prompts while it generates, of the latest `windowMs`
   * milliseconds and of what it still has to do.
   */
  recentLocalPrefillMs(now: number, windowMs: number): number;
  startPrefill(job: string, role: EngineRole, prompt: Prompt, now: number): void;
  /** A read ended; `isWhole` when the prompt was read to its end. */
  endPrefill(job: string, isWhole: boolean, now: number): void;
  /** It fetches a prompt that another engine has read. */
  startTransfer(job: string, prompt: Prompt, work: Work, now: number): void;
  endTransfer(job: string, isWhole: boolean, now: number): void;
  /** Takes in what it says that it has cached. */
  addCachedParts(parts: readonly CachedPart[]): void;
}

interface Read {
  role: EngineRole;
  work: Work;
}

/**
 * Creates an engine with nothing to do.
 *
 * @param id the server's id
 * @param cacheTokens tokens that its cache holds
 * @param paces what is known of all engines of the service
 */
export function createEngineModel(
  id: string,
  cacheTokens: number,
  paces: LatencyModels,
): EngineModel {
  const cache = createCacheModel(cacheTokens);
  const reads = createSerialWork();
  const transfers = createSerialWork();
  const readWork = new Map<string, Read>();
  const transferWork = new Map<string, Work>();
  /** Reads between tokens that were started lately, the oldest first. */
  let direct: { startedAt: number; expectedMs: number }[] = [];
  let factor = 1;

  function resolveWork(prompt: Prompt): Work {
    const unread = cache.uncachedTokens(prompt);
    return resolvePrefillWork(unread, prompt.tokens - unread);
  }

  function expectMs(role: EngineRole, work: Work): number {
    const isAlike = factor > 1 / ODD_FACTOR && factor < ODD_FACTOR;
    return (isAlike ? 1 : factor) * paces.estimatePrefillMs(role, work);
  }

  function learn({ role, work }: Read, tookMs: number): void {
    const usualMs = paces.estimatePrefillMs(role, work);
    if (usualMs >= LEAST_TELLING_MS) {
      const ratio = Math.min(MOST_FACTOR, Math.max(1 / MOST_FACTOR, tookMs / usualMs));
      factor += FACTOR_WEIGHT * (ratio - factor);
    }
    paces.observePrefill(role, work, tookMs);
  }

  return {
    id,
    prefills: reads,
    transfers,
    estimatePrefillMs: (role, prompt) => expectMs(role, resolveWork(prompt)),
    recentLocalPrefillMs(now, windowMs) {
      direct = direct.filter((read) => read.startedAt + read.expectedMs > now - windowMs);
      let sum = 0;
      for (const read of direct) {
        sum += read.expectedMs;
      }
      return sum;
    },
    startPrefill(job, role, prompt, now) {
      const work = resolveWork(prompt);
      cache.recordUse(prompt);
      readWork.set(job, { role, work });
      const expectedMs = expectMs(role, work);
      reads.start(job, expectedMs, now);
      if (role === 'decode') direct.push({ startedAt: now, expectedMs });
    },
    endPrefill(job, isWhole, now) {
      const tookMs = reads.end(job, now);
      const read = readWork.get(job);
      readWork.delete(job);
      if (isWhole && read !== undefined && tookMs !== undefined) learn(read, tookMs);
    },
    startTransfer(job, prompt, work, now) {
      cache.recordUse(prompt);
      transferWork.set(job, work);
      transfers.start(job, paces.transfer.estimateMs(work), now);
    },
    addCachedParts(parts) {
      cache.addReported(parts);
    },
    endTransfer(job, isWhole, now) {
      const tookMs = transfers.end(job, now);
      const work = transferWork.get(job);
      transferWork.delete(job);
      if (isWhole && work !== undefined && tookMs !== undefined)
        paces.transfer.observe(work, tookMs);
    },
  };
}
