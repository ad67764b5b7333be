/**
 * Watches the memory of the process beside its limit. A process that passes the limit is killed and writes nothing, so the
 * lines that say how much it held, and for what, come before.
 */
import type { Log } from '../events/index.js';
import type { Clock, Timer } from '../task/index.js';

/** Interval between two readings, in ms. */
const READ_INTERVAL_MS = 1_000;
/** Share of the limit from which memory counts as high. */
const HIGH_SHARE = 0.7;
/** Further share of the limit at which it is logged again. */
const STEP_SHARE = 0.1;
/** Holders named in a line; the largest ones. */
const NAMED_HOLDERS = 5;
const BYTES_PER_MB = 1_048_576;

/** Memory of a process, in bytes. */
export interface MemoryUsage {
  /** Resident memory. */
  rss: number;
  heapUsed: number;
  /** Buffers outside of the heap included. */
  external: number;
}

/** Dependencies of {@link watchMemory}. */
export interface MemoryWatchParts {
  clock: Clock;
  log: Log;
  /** Limit of resident memory, in bytes; `undefined` if it is not known. */
  limitBytes: () => number | undefined;
  /** Reads the memory in use; by default that of this process. */
  read?: () => MemoryUsage;
  /** What is held, by holder: bytes, or a count where the name says so. */
  holders: () => Readonly<Record<string, number>>;
  /** Called with each reading. */
  observed: (usage: MemoryUsage) => void;
}

/** The watch. */
export interface MemoryWatch {
  stop(): void;
}

/**
 * Starts to watch.
 *
 * @param parts the limit, the readings and what is held
 */
export function watchMemory(parts: MemoryWatchParts): MemoryWatch {
  const { clock, log, read = () => process.memoryUsage() } = parts;
  /** Share of the limit at which it was logged last; 0 while memory is not high. */
  let loggedShare = 0;
  let timer: Timer;

  function observe(): void {
    const usage = read();
    parts.observed(usage);
    const limitBytes = parts.limitBytes();
    if (limitBytes === undefined || limitBytes <= 0) return;
    const share = usage.rss / limitBytes;
    if (share < HIGH_SHARE) ease(usage);
    else if (share >= loggedShare + STEP_SHARE) warn(usage, share, limitBytes);
    // so that the next rise is logged again
    else if (share <= loggedShare - STEP_SHARE) loggedShare = share;
  }

  function warn(usage: MemoryUsage, share: number, limitBytes: number): void {
    loggedShare = share;
    log.write('memoryHigh', {
      ...describeUsage(usage),
      limitMb: toMb(limitBytes),
      holders: listLargest(parts.holders()),
    });
  }

  function ease(usage: MemoryUsage): void {
    if (loggedShare === 0) return;
    loggedShare = 0;
    log.write('memoryEased', describeUsage(usage));
  }

  function schedule(): void {
    timer = clock.after(READ_INTERVAL_MS, () => {
      observe();
      schedule();
    });
  }

  schedule();
  return {
    stop() {
      timer.cancel();
    },
  };
}

function describeUsage({ rss, heapUsed, external }: MemoryUsage): Record<string, number> {
  return { rssMb: toMb(rss), heapMb: toMb(heapUsed), externalMb: toMb(external) };
}

function toMb(bytes: number): number {
  return Math.round(bytes / BYTES_PER_MB);
}

function listLargest(holders: Readonly<Record<string, number>>): Record<string, number> {
  const entries = Object.entries(holders).sort(([, left], [, right]) => right - left);
  return Object.fromEntries(entries.slice(0, NAMED_HOLDERS));
}
