/**
 * The edges of the gateways' lives in the soak: signals in series, also to all at once, at any moment of a start, a run or
 * a stop, and settings files that come after the process or in parts.
 */
import type { RandomSource } from '../../src/task/index.js';
import { pause } from './calm.js';
import type { GatewayProcess } from './gateways.js';

/** Signals of a series; the first ones are drawn most. */
const NAMES = ['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGQUIT', 'SIGUSR2'] as const;
/** Most signals of a series, and longest time between two of them, in ms. */
const MOST_SIGNALS = 4;
const GAP_MS = 250;
/** Part of the series that go to all gateways, as to a group. */
const GROUP_SHARE = 0.15;
/** Part of the edges at which a gateway starts before its settings are whole, and longest time until they are, in ms. */
const LATE_SHARE = 0.35;
const LATE_MS = 900;
/** Part of these at which there is no file at all. */
const MISSING_SHARE = 0.3;
/** Time between two edges, in ms. */
const EDGE_MS = 700;

/** What edges are drawn for. */
export interface EdgeParts {
  gateways: readonly GatewayProcess[];
  random: RandomSource;
  /** Has work waited for. */
  track(work: Promise<void>): void;
}

/**
 * Draws edges for a time.
 *
 * @param parts the gateways and the source of chance
 * @param until end of that time, in ms of the steady clock
 */
export async function drawEdges(parts: EdgeParts, until: number): Promise<void> {
  const { gateways, random } = parts;
  while (performance.now() < until) {
    const gateway = gateways[Math.floor(random.next() * gateways.length)];
    const isLate = random.next() < LATE_SHARE;
    const share = random.next() < MISSING_SHARE ? 0 : random.next();
    const lateMs = LATE_MS * random.next();
    const signalled =
      random.next() < GROUP_SHARE ? gateways : gateways.filter((one) => one === gateway);
    if (gateway !== undefined && isLate) parts.track(gateway.startWithout(share, lateMs));
    parts.track(sendSeries(signalled, random));
    await pause(EDGE_MS);
  }
}

async function sendSeries(
  gateways: readonly GatewayProcess[],
  random: RandomSource,
): Promise<void> {
  const series = Array.from({ length: 1 + Math.floor(random.next() * MOST_SIGNALS) }, () => ({
    name: NAMES[Math.floor(random.next() ** 2 * NAMES.length)] ?? 'SIGTERM',
    gapMs: GAP_MS * random.next(),
  }));
  for (const { name, gapMs } of series) {
    await pause(gapMs);
    for (const gateway of gateways) gateway.signal(name);
  }
}
