/**
 * Continuous batching. Work goes in steps: each generates one token for every running request whose
 * prompt has been read, and reads one chunk of prompts, the most urgent first. A step takes the
 * longer the more it does, so that reading prompts slows those who generate. One timer drives it.
 */
import type { Clock, Timer } from '../../src/task/index.js';
import { compareGenerations, createChunk, type Ending, type Generation } from './generation.js';
import type { PrefixCache } from './prefix-cache.js';
import type { ServiceTimes } from './settings.js';
import { PREFIX_BLOCK_TOKENS } from '../../src/ports/index.js';

/** The running and waiting requests of an engine. */
export interface Batch {
  /** Takes a request; false when there is no room for it to wait. */
  add(generation: Generation): boolean;
  find(requestId: string): Generation | undefined;
  /** Ends one request early. */
  drop(generation: Generation, ending: Ending): void;
  /** Ends all requests early and gives them back. */
  dropAll(ending: Ending): Generation[];
  running(): number;
  waiting(): number;
  /** KV memory of the running requests, in tokens. */
  kvTokens(): number;
}

/** What a batch is made of. */
export interface BatchTerms {
  clock: Clock;
  times: ServiceTimes;
  cache: PrefixCache;
  /** KV memory taken by others, in tokens. */
  otherKvTokens(): number;
  /** How many times as long steps take. */
  slowness(): number;
  /** Hears of a request that begins to run. */
  onStarted(generation: Generation): void;
  /** Hears of a request that was answered to its end. */
  onFinished(generation: Generation): void;
}

/** What one step does. */
interface Step {
  generating: Generation[];
  reading: Share[];
  durationMs: number;
}

/** Part of a prompt that is read in one step. */
interface Share {
  generation: Generation;
  tokens: number;
}

const SECOND_MS = 1_000;

/** A step that was late by more than this does not hasten the following ones. */
const MAX_CATCH_UP_MS = 50;

/** Creates an idle batch. */
export function createBatch(terms: BatchTerms): Batch {
  const { clock, times, cache } = terms;
  const running = new Set<Generation>();
  const waiting: Generation[] = [];
  let kvTokens = 0;
  let timer: Timer | undefined;
  let dueAt = 0;

  function add(generation: Generation): boolean {
    if (!hasRoom(generation)) return false;
    let position = waiting.length;
    while (position > 0 && isBefore(generation, waiting[position - 1])) position -= 1;
    waiting.splice(position, 0, generation);
    if (timer === undefined) begin();
    return true;
  }

  function hasRoom(generation: Generation): boolean {
    if (generation.kvTokens > times.kvTokensTotal) return false;
    // Places in the batch are filled between steps, so those still free count as room to wait
    const free = times.maxBatch - running.size;
    return waiting.length < times.maxWaiting + free;
  }

  function fits(generation: Generation): boolean {
    if (running.size >= times.maxBatch) return false;
    const used = kvTokens + terms.otherKvTokens();
    return used + generation.kvTokens <= times.kvTokensTotal;
  }

  function begin(): void {
    dueAt = clock.now();
    runStep();
  }

  function runStep(): void {
    timer = undefined;
    admit();
    if (running.size === 0) return;
    const step = planStep();
    dueAt = Math.max(dueAt, clock.now() - MAX_CATCH_UP_MS) + step.durationMs;
    timer = clock.after(dueAt - clock.now(), () => {
      finishStep(step);
      runStep();
    });
  }

  function admit(): void {
    for (;;) {
      const first = waiting[0];
      if (first === undefined || !fits(first)) return;
      waiting.shift();
      start(first);
    }
  }

  function start(generation: Generation): void {
    const { promptTokens, importedTokens, request } = generation;
    const matched = cache.match(generation.prefixes) * PREFIX_BLOCK_TOKENS;
    // The last token is always read, for the first output token follows from it
    const cached = Math.min(matched, Math.max(0, promptTokens - 1));
    const known = Math.max(cached, importedTokens);
    generation.cachedTokens = Math.min(known, promptTokens);
    generation.prefillLeft = Math.max(0, promptTokens + request.resumeFrom - known);
    kvTokens += generation.kvTokens;
    running.add(generation);
    terms.onStarted(generation);
  }

  function planStep(): Step {
    const generating: Generation[] = [];
    const unread: Generation[] = [];
    for (const generation of running) {
      if (generation.prefillLeft > 0) unread.push(generation);
      else generating.push(generation);
    }
    const reading = shareChunk(unread);
    let tokens = 0;
    for (const share of reading) tokens += share.tokens;
    const readMs = (tokens * SECOND_MS) / times.prefillTokensPerSecond;
    const durationMs =
      (times.stepBaseMs + times.perSequenceMs * generating.length + readMs) * terms.slowness();
    return { generating, reading, durationMs };
  }

  function shareChunk(unread: Generation[]): Share[] {
    const shares: Share[] = [];
    let left = times.prefillChunkTokens;
    for (const generation of unread.sort(compareGenerations)) {
      if (left === 0) break;
      const tokens = Math.min(left, generation.prefillLeft);
      shares.push({ generation, tokens });
      left -= tokens;
    }
    return shares;
  }

  function finishStep(step: Step): void {
    for (const generation of step.generating) {
      if (generation.live) emit(generation);
    }
    for (const { generation, tokens } of step.reading) {
      if (!generation.live) continue;
      generation.prefillLeft -= tokens;
      if (generation.prefillLeft > 0) continue;
      cache.store(generation.prefixes);
      emit(generation);
    }
  }

  function emit(generation: Generation): void {
    generation.sink.onChunk(createChunk(generation));
    generation.next += 1;
    if (!generation.live || generation.next < generation.end) return;
    release(generation);
    terms.onFinished(generation);
    generation.sink.onEnd('finished');
  }

  function release(generation: Generation): void {
    generation.live = false;
    if (running.delete(generation)) {
      kvTokens -= generation.kvTokens;
      return;
    }
    const position = waiting.indexOf(generation);
    if (position >= 0) waiting.splice(position, 1);
  }

  function drop(generation: Generation, ending: Ending): void {
    if (!generation.live) return;
    release(generation);
    generation.sink.onEnd(ending);
  }

  return {
    add,
    find(requestId) {
      for (const generation of [...running, ...waiting]) {
        if (generation.request.requestId === requestId) return generation;
      }
      return undefined;
    },
    drop,
    dropAll(ending) {
      const all = [...running, ...waiting];
      for (const generation of all) drop(generation, ending);
      return all;
    },
    running: () => running.size,
    waiting: () => waiting.length,
    kvTokens: () => kvTokens,
  };
}

function isBefore(one: Generation, other: Generation | undefined): boolean {
  return other !== undefined && compareGenerations(one, other) < 0;
}
