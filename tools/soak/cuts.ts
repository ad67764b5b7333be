/**
 * Gateways that are cut from all servers while callers, the store and the other gateways reach them, and what first
 * attempts get there meanwhile.
 */
import { startPaths, type PathCut, type Paths } from '../../stand-ins/network/index.js';
import type { RandomSource } from '../../src/task/index.js';

const KINDS: readonly PathCut[] = ['silent', 'reset', 'refused'];
/** Share of the other gateways' rate below which first attempts at cut gateways are served too seldom. */
const LEAST_RATIO = 2 / 3;
/** First attempts that may fail at cut gateways, at any rate and as a share of all there. */
const FAILURES_ALLOWED = 10;
const FAILURES_ALLOWED_SHARE = 1 / 50;

/** First attempts at some gateways. */
export interface AttemptCount {
  asked: number;
  served: number;
}

/** Cuts gateways from the servers. */
export interface Cuts {
  /** Paths of each gateway. */
  paths: readonly Paths[];
  /** Opens a path from every gateway to a server. */
  open(address: string): Promise<void>;
  /** Cuts a gateway for a time, unless it is cut already. */
  cutFor(index: number, durationMs: number): Promise<void>;
  close(): void;
}

/**
 * Starts the paths of gateways.
 *
 * @param count number of gateways
 * @param random draws how a gateway is cut
 */
export function createCuts(count: number, random: RandomSource): Cuts {
  const paths = Array.from({ length: count }, startPaths);
  const cut = new Set<number>();
  return {
    paths,
    async open(address) {
      await Promise.all(paths.map((path) => path.open(address)));
    },
    async cutFor(index, durationMs) {
      const path = paths[index];
      if (path === undefined || cut.has(index)) return;
      cut.add(index);
      await path.cut(KINDS[Math.floor(random.next() * KINDS.length)] ?? 'silent');
      await new Promise((resolve) => {
        setTimeout(resolve, durationMs);
      });
      await path.heal();
      cut.delete(index);
    },
    close() {
      for (const path of paths) path.close();
    },
  };
}

/** What is broken where first attempts at cut gateways are served too seldom; `undefined` if nothing. */
export function judgeFirstAttempts(cut: AttemptCount, others: AttemptCount): string | undefined {
  const failed = cut.asked - cut.served;
  const isTolerable = failed <= FAILURES_ALLOWED + FAILURES_ALLOWED_SHARE * cut.asked;
  const isAlike = cut.served * others.asked >= LEAST_RATIO * others.served * cut.asked;
  if (isTolerable || isAlike) return undefined;
  return `cut gateways served ${cut.served} of ${cut.asked}, the others ${others.served} of ${others.asked}`;
}
