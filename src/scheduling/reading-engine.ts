/**
 * One engine that reads prompts, as its scheduler follows it: what it works on, what waits for it,
 * what it probably has cached and how fast it reads.
 */
import { createCacheModel, type CacheModel } from './cache-model.js';
import type { Prompt } from './prompt.js';
import { createReadingRate, type ReadingRate } from './reading-rate.js';

interface Read {
  tokens: number;
  costMs: number;
  startedAt: number;
}

/** One engine that reads prompts. */
export interface ReadingEngine {
  readonly id: string;
  /** Time until what it was given and what waits in time for it is read, in milliseconds. */
  backlogMs(now: number): number;
  /** Time until what it was given is read, without what still waits, in milliseconds. */
  readMs(now: number): number;
  /** Time that reading what waits although it will be late would take, in milliseconds. */
  lateMs(): number;
  /** Time that reading a prompt would take it, and the tokens that it would have to read. */
  estimate(prompt: Prompt): { costMs: number; tokens: number };
  inFlight(): number;
  /** A request waits for it. */
  enqueue(costMs: number, isLate: boolean): void;
  /** A request no longer waits for it. */
  dequeue(costMs: number, isLate: boolean): void;
  start(job: string, prompt: Prompt, now: number): void;
  /** A read ended; `isWhole` when the prompt was read to its end. */
  end(job: string, isWhole: boolean, now: number): void;
}

/**
 * Creates an engine with nothing to do.
 *
 * @param id the server's id
 * @param cacheTokens tokens that its cache holds
 */
export function createReadingEngine(id: string, cacheTokens: number): ReadingEngine {
  const cache: CacheModel = createCacheModel(cacheTokens);
  const rate: ReadingRate = createReadingRate();
  const reads = new Map<string, Read>();
  let queuedMs = 0;
  let lateMs = 0;
  let lastEndAt = Number.NEGATIVE_INFINITY;

  /** When the oldest read got the engine to itself. */
  function busySince(read: Read): number {
    return Math.max(read.startedAt, lastEndAt);
  }

  function readMs(now: number): number {
    let totalMs = 0;
    let workedMs = 0;
    let overdueMs = 0;
    for (const read of reads.values()) {
      totalMs += read.costMs;
      if (workedMs > 0) continue;
      const busyMs = now - busySince(read);
      workedMs = Math.min(read.costMs, busyMs);
      overdueMs = Math.max(0, busyMs - read.costMs);
    }
    // an engine that is late with a read is expected to be late by as much again
    return Math.max(0, totalMs - workedMs) + overdueMs;
  }

  return {
    id,
    backlogMs: (now) => queuedMs + readMs(now),
    readMs,
    estimate(prompt) {
      const tokens = cache.unreadTokens(prompt);
      return { costMs: rate.costMs(tokens), tokens };
    },
    inFlight: () => reads.size,
    lateMs: () => lateMs,
    enqueue(costMs, isLate) {
      if (isLate) lateMs += costMs;
      else queuedMs += costMs;
    },
    dequeue(costMs, isLate) {
      if (isLate) lateMs = Math.max(0, lateMs - costMs);
      else queuedMs = Math.max(0, queuedMs - costMs);
    },
    start(job, prompt, now) {
      const tokens = cache.unreadTokens(prompt);
      cache.use(prompt);
      reads.set(job, { tokens, costMs: rate.costMs(tokens), startedAt: now });
    },
    end(job, isWhole, now) {
      const read = reads.get(job);
      if (read === undefined) return;
      reads.delete(job);
      if (isWhole) rate.record(read.tokens, now - busySince(read));
      lastEndAt = now;
    },
  };
}
