/**
 * The network between processes: latency, cuts and servers that are down. Nothing is lost unless a
 * fault says so.
 */
import type { RandomSource } from '../../../src/task/index.js';
import type { FakeProcess } from './process.js';
import type { VirtualTime } from './virtual-time.js';

const BASE_LATENCY_MS = 0.4;
const JITTER_MS = 0.8;

/** One call and its answer. */
export interface Exchange<Value> {
  from: FakeProcess;
  to: string;
  timeoutMs: number;
  /** What the called side does. */
  effect(): Value | Promise<Value>;
  /** What the caller concludes without an answer. `sent`: the call may have arrived. */
  lost(sent: boolean): Value;
  /** Longer for the way there, in milliseconds. */
  extraDelayMs?: number;
  /** The effect happens and its answer is lost. */
  dropAnswer?: boolean;
}

/** The network of one run. */
export interface Network {
  cut(left: string, right: string): void;
  heal(left: string, right: string): void;
  isCut(left: string, right: string): boolean;
  /** Everything sent to a server takes this much longer; 0 ends it. */
  slow(server: string, extraMs: number): void;
  isSlow(server: string): boolean;
  setDown(server: string, isDown: boolean): void;
  isDown(server: string): boolean;
  latency(to: string): number;
  call<Value>(exchange: Exchange<Value>): Promise<Value>;
}

/**
 * Creates a network without faults.
 *
 * @param time the time of the run
 * @param random the source of jitter
 */
export function createNetwork(time: VirtualTime, random: RandomSource): Network {
  const cuts = new Map<string, number>();
  const slowed = new Map<string, number>();
  const down = new Set<string>();

  function pairOf(left: string, right: string): string {
    return left < right ? `${left}|${right}` : `${right}|${left}`;
  }

  function isCut(left: string, right: string): boolean {
    return (cuts.get(pairOf(left, right)) ?? 0) > 0;
  }

  function count(left: string, right: string, change: number): void {
    const pair = pairOf(left, right);
    cuts.set(pair, (cuts.get(pair) ?? 0) + change);
  }

  function latency(to: string): number {
    return BASE_LATENCY_MS + random.next() * JITTER_MS + (slowed.get(to) ?? 0) * random.next();
  }

  function call<Value>(exchange: Exchange<Value>): Promise<Value> {
    const { from, to } = exchange;
    return new Promise((resolve) => {
      let sent = false;
      let isGivenUp = false;
      const timer = from.clock.after(exchange.timeoutMs, () => {
        isGivenUp = true;
        resolve(exchange.lost(sent));
      });
      const finish = (value: Value) => {
        from.perform(() => {
          timer.cancel();
          resolve(value);
        });
      };
      const arrive = async () => {
        const value = await exchange.effect();
        time.after(latency(to), () => {
          if (!isCut(from.name, to) && exchange.dropAnswer !== true) finish(value);
        });
      };
      from.perform(() => {
        // As the HTTP adapters do: what was given up before it was sent is never sent.
        if (isGivenUp || isCut(from.name, to)) return;
        sent = !down.has(to);
        time.after(latency(to) + (exchange.extraDelayMs ?? 0), () => {
          if (sent) void arrive();
          else finish(exchange.lost(false));
        });
      });
    });
  }

  return {
    cut(left, right) {
      count(left, right, 1);
    },
    heal(left, right) {
      count(left, right, -1);
    },
    isCut,
    slow(server, extraMs) {
      if (extraMs === 0) slowed.delete(server);
      else slowed.set(server, extraMs);
    },
    isSlow: (server) => slowed.has(server),
    setDown(server, isDown) {
      if (isDown) down.add(server);
      else down.delete(server);
    },
    isDown: (server) => down.has(server),
    latency,
    call,
  };
}
