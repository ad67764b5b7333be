/**
 * One engine in virtual time, as its published behaviour says: reads one prompt after another, or
 * generates a token for each running request in steps between which prompts are read in chunks; keeps
 * what was used last; fetches prompts over its link one after another.
 */
import { createCacheModel, type CacheModel } from '../../src/scheduling/cache-model.js';
import type { CachedPart } from '../../src/scheduling/index.js';
import type { Prompt } from '../../src/scheduling/prompt.js';
import type { Clock } from '../../src/task/index.js';
import type { EmulatedFleet } from './pattern.js';

/** An engine that generates reads so many times as slowly. */
const GENERATING_SLOWDOWN = 2;

/** What becomes of a stream. */
export interface StreamWatch {
  begun(): void;
  /** `longestPauseMs` between two of its events. */
  ended(longestPauseMs: number): void;
}

/** One engine. */
export interface EmulatedEngine {
  readonly id: string;
  readonly role: 'prefill' | 'decode';
  read(prompt: Prompt, done: () => void): void;
  /** Fetches a prompt that was read elsewhere, then generates. */
  fetch(prompt: Prompt, watch: StreamWatch): void;
  /** Reads a prompt between tokens, then generates. */
  readAndGenerate(prompt: Prompt, watch: StreamWatch): void;
  cached(): readonly CachedPart[];
  /** It ends; nothing more comes from it. */
  end(): void;
}

interface Stream {
  leftTokens: number;
  madeTokens: number;
  lastEventAt: number;
  longestPauseMs: number;
  watch: StreamWatch;
}

interface Reading {
  leftMs: number;
  prompt: Prompt;
  watch: StreamWatch;
}

/**
 * Creates an engine with nothing to do.
 *
 * @param id its name
 * @param role what it does
 * @param fleet what engines are like
 * @param clock virtual time
 */
export function createEmulatedEngine(
  id: string,
  role: 'prefill' | 'decode',
  fleet: EmulatedFleet,
  clock: Clock,
): EmulatedEngine {
  const cache: CacheModel = createCacheModel(fleet.cacheTokens);
  const held = new Map<string, CachedPart>();
  const streams = new Set<Stream>();
  const readings: Reading[] = [];
  let freeAt = 0;
  let linkFreeAt = 0;
  let stepping = false;
  let ended = false;

  /** Time to read what is not cached, at full speed. */
  function resolveReadMs(prompt: Prompt): number {
    const unread = cache.uncachedTokens(prompt);
    const pairs = (unread * (prompt.tokens - unread / 2)) / 1_000_000;
    return fleet.firstMs + unread / fleet.tokensPerMs + pairs * fleet.pairsMsPerMillion;
  }

  function keep(prompt: Prompt): void {
    cache.recordUse(prompt);
    for (const { id: part, tokens } of prompt.parts) {
      held.set(part, { model: prompt.model, id: part, tokens });
    }
  }

  function after(delayMs: number, action: () => void): void {
    clock.after(delayMs, () => {
      if (!ended) action();
    });
  }

  function generate(prompt: Prompt, watch: StreamWatch): void {
    const now = clock.now();
    streams.add({
      leftTokens: prompt.maxOutputTokens,
      madeTokens: 0,
      lastEventAt: now,
      longestPauseMs: 0,
      watch,
    });
    step();
  }

  /** One token for each running request, and a chunk of the first prompt that waits. */
  function step(): void {
    if (stepping || (streams.size === 0 && readings.length === 0)) return;
    stepping = true;
    const [reading] = readings;
    const chunkMs = (GENERATING_SLOWDOWN * fleet.chunkTokens) / fleet.tokensPerMs;
    const readMs = reading === undefined ? 0 : Math.min(reading.leftMs, chunkMs);
    const running = [...streams].slice(0, fleet.slots);
    const stepMs =
      running.length === 0 ? 0 : fleet.stepMs + fleet.stepMsPerRequest * running.length;
    after(stepMs + readMs, () => {
      stepping = false;
      for (const stream of running) advance(stream);
      if (reading !== undefined) finishChunk(reading, readMs);
      step();
    });
  }

  function finishChunk(reading: Reading, readMs: number): void {
    reading.leftMs -= readMs;
    if (reading.leftMs > 0) return;
    readings.shift();
    generate(reading.prompt, reading.watch);
  }

  function advance(stream: Stream): void {
    stream.leftTokens -= 1;
    stream.madeTokens += 1;
    const isEvent = stream.madeTokens % fleet.tokensPerEvent === 1 || fleet.tokensPerEvent === 1;
    if (!isEvent && stream.leftTokens > 0) return;
    const now = clock.now();
    if (stream.madeTokens === 1) stream.watch.begun();
    else stream.longestPauseMs = Math.max(stream.longestPauseMs, now - stream.lastEventAt);
    stream.lastEventAt = now;
    if (stream.leftTokens > 0) return;
    streams.delete(stream);
    stream.watch.ended(stream.longestPauseMs);
  }

  return {
    id,
    role,
    read(prompt, done) {
      const readMs = resolveReadMs(prompt);
      keep(prompt);
      freeAt = Math.max(freeAt, clock.now()) + readMs;
      after(freeAt - clock.now(), done);
    },
    fetch(prompt, watch) {
      keep(prompt);
      linkFreeAt = Math.max(linkFreeAt, clock.now()) + prompt.tokens / fleet.linkTokensPerMs;
      after(linkFreeAt - clock.now(), () => {
        generate(prompt, watch);
      });
    },
    readAndGenerate(prompt, watch) {
      const leftMs = GENERATING_SLOWDOWN * resolveReadMs(prompt);
      keep(prompt);
      readings.push({ leftMs, prompt, watch });
      step();
    },
    cached: () => [...held.values()],
    end() {
      ended = true;
    },
  };
}
