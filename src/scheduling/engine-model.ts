/**
 * The scheduler's model of one engine: its current work, its probable cache contents and its speed
 * relative to the other engines of the service.
 */
import type { EngineRole } from '../fleet/index.js';
import { createCacheModel } from './cache-model.js';
import type { CachedPart } from './cached-parts.js';
import { resolvePrefillWork, type Work } from './latency-model.js';
import type { LatencyModels } from './latency-models.js';
import type { Prompt } from './prompt.js';
import { createSerialWork, type SerialWork } from './serial-work.js';

/** Weight of the latest prefill in the moving average of an engine's slowdown; a slow engine is known
 * after about four prefills. */
const SLOWDOWN_WEIGHT = 0.3;
/** Bound on the slowdown of a single prefill, and its inverse. */
const MAX_SLOWDOWN = 8;
/** Smaller slowdowns are treated as noise, since they would draw prompts away from engines that have
 * their parts cached. */
const MIN_SLOWDOWN = 1.6;
/** Shorter estimates are not used for the slowdown, in ms: network latency dominates them. */
const MIN_SAMPLE_MS = 5;

/** Model of one engine. */
export interface EngineModel {
  readonly id: string;
  /** Prefills that have been assigned to the engine and have not ended. */
  readonly prefills: SerialWork;
  /** KV cache transfers from prefill engines to this one. */
  readonly transfers: SerialWork;
  /** Estimated time to prefill a prompt, in milliseconds; 0 without samples. */
  estimatePrefillMs(role: EngineRole, prompt: Prompt): number;
  /** Estimated time of the assigned prefills if nothing of their prompts is cached, in milliseconds. */
  uncachedPrefillsMs(): number;
  /**
   * Estimated time of local prefills that ran within the latest `windowMs` milliseconds or have not
   * ended.
   */
  recentLocalPrefillMs(now: number, windowMs: number): number;
  startPrefill(job: string, role: EngineRole, prompt: Prompt, now: number): void;
  /** Ends a prefill; only a complete one is used as a sample. */
  endPrefill(job: string, isComplete: boolean, now: number): void;
  /** Starts the transfer of a prompt's KV cache to the engine. */
  startTransfer(job: string, prompt: Prompt, work: Work, now: number): void;
  endTransfer(job: string, isComplete: boolean, now: number): void;
  /** Adds parts that the engine reported as cached. */
  addCachedParts(parts: readonly CachedPart[]): void;
}

interface Prefill {
  role: EngineRole;
  work: Work;
  /** Estimated time if nothing of the prompt is cached. */
  uncachedMs: number;
}

/**
 * Creates the model of an idle engine.
 *
 * @param id the server's id
 * @param cacheTokens capacity of the engine's cache in tokens
 * @param latencyModels latency models of the service's engines
 */
export function createEngineModel(
  id: string,
  cacheTokens: number,
  latencyModels: LatencyModels,
): EngineModel {
  const cache = createCacheModel(cacheTokens);
  const prefills = createSerialWork();
  const transfers = createSerialWork();
  const prefillWork = new Map<string, Prefill>();
  const transferWork = new Map<string, Work>();
  /** Recently started local prefills, the oldest first. */
  let localPrefills: { startedAt: number; expectedMs: number }[] = [];
  let slowdown = 1;

  function resolveWork(prompt: Prompt): Work {
    const uncached = cache.uncachedTokens(prompt);
    return resolvePrefillWork(uncached, prompt.tokens - uncached);
  }

  function estimateMs(role: EngineRole, work: Work): number {
    const isTypical = slowdown > 1 / MIN_SLOWDOWN && slowdown < MIN_SLOWDOWN;
    return (isTypical ? 1 : slowdown) * latencyModels.estimatePrefillMs(role, work);
  }

  /** The cache model may be wrong, since engines evict parts without a report. */
  function estimateUncachedMs(role: EngineRole, prompt: Prompt): number {
    return estimateMs(role, resolvePrefillWork(prompt.tokens, 0));
  }

  function observe({ role, work }: Prefill, tookMs: number): void {
    const typicalMs = latencyModels.estimatePrefillMs(role, work);
    if (typicalMs >= MIN_SAMPLE_MS) {
      const ratio = Math.min(MAX_SLOWDOWN, Math.max(1 / MAX_SLOWDOWN, tookMs / typicalMs));
      slowdown += SLOWDOWN_WEIGHT * (ratio - slowdown);
    }
    latencyModels.observePrefill(role, work, tookMs);
  }

  return {
    id,
    prefills,
    transfers,
    estimatePrefillMs: (role, prompt) => estimateMs(role, resolveWork(prompt)),
    uncachedPrefillsMs() {
      let sum = 0;
      for (const { uncachedMs } of prefillWork.values()) {
        sum += uncachedMs;
      }
      return sum;
    },
    recentLocalPrefillMs(now, windowMs) {
      localPrefills = localPrefills.filter(
        (prefill) => prefill.startedAt + prefill.expectedMs > now - windowMs,
      );
      let sum = 0;
      for (const prefill of localPrefills) {
        sum += prefill.expectedMs;
      }
      return sum;
    },
    startPrefill(job, role, prompt, now) {
      const work = resolveWork(prompt);
      cache.recordUse(prompt);
      prefillWork.set(job, { role, work, uncachedMs: estimateUncachedMs(role, prompt) });
      const expectedMs = estimateMs(role, work);
      prefills.start(job, expectedMs, now);
      if (role === 'decode') localPrefills.push({ startedAt: now, expectedMs });
    },
    endPrefill(job, isComplete, now) {
      const tookMs = prefills.end(job, now);
      const prefill = prefillWork.get(job);
      prefillWork.delete(job);
      if (isComplete && prefill !== undefined && tookMs !== undefined) observe(prefill, tookMs);
    },
    startTransfer(job, prompt, work, now) {
      cache.recordUse(prompt);
      transferWork.set(job, work);
      transfers.start(job, latencyModels.transfer.estimateMs(work), now);
    },
    addCachedParts(parts) {
      cache.addReported(parts);
    },
    endTransfer(job, isComplete, now) {
      const tookMs = transfers.end(job, now);
      const work = transferWork.get(job);
      transferWork.delete(job);
      if (isComplete && work !== undefined && tookMs !== undefined)
        latencyModels.transfer.observe(work, tookMs);
    },
  };
}
