/**
 * One load generator process. Its parent sends it a job; it sends its part of the run's requests at
 * their times, whatever becomes of earlier ones (open loop), and hands back what became of each.
 */
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { createArrivals, type Arrival, type Offer } from './arrivals.js';
import type { GeneratorReport, Outcome } from './outcome.js';
import { AddressUnreachable, send, type Sending } from './send.js';
import { loadExperiment, type Experiment } from './settings.js';
import { createTexts } from './texts.js';

/** What a generator is told to do. */
export interface GeneratorJob {
  deployment: string;
  phaseSeconds: number | undefined;
  offer: Offer;
  /** Which of how many generators it is. */
  index: number;
  count: number;
  /** Caller addresses of all nodes, to begin with. */
  addresses: string[];
  /** When the run begins, on the wall clock that all processes of the machine share. */
  startAt: number;
  /** Makes idempotency keys unique over runs. */
  runId: string;
}

const ENTRY_POINTS_EVERY_MS = 2_000;
const ENTRY_POINTS_TIMEOUT_MS = 1_000;
const MAX_ADDRESSES_TRIED = 3;
const MICROS_PER_MS = 1_000;
const NANOS_PER_MS = 1_000_000;
const P99 = 99;

/** Key of a team, as `deployment.ts` gives it to the configuration. */
export function apiKeyOf(team: string): string {
  return `bench-key-of-team-${team}`;
}

/** The addresses that callers of each zone use, asked of the system itself every now and then. */
function createEntryPoints(addresses: readonly string[], zones: readonly string[]) {
  const known = new Map<string, string[]>();
  let next = 0;

  async function ask(zone: string): Promise<void> {
    for (const address of known.get(zone) ?? addresses) {
      try {
        const answer = await request(`http://${address}/v1/entry-points?zone=${zone}`, {
          headersTimeout: ENTRY_POINTS_TIMEOUT_MS,
        });
        const body = (await answer.body.json()) as {
          entryPoints: { address: string; zone: string }[];
        };
        known.set(zone, sortByZone(body.entryPoints, zone));
        return;
      } catch {
        continue;
      }
    }
  }

  return {
    async refresh(): Promise<void> {
      await Promise.all(zones.map(ask));
    },
    /** Addresses to try, the one to use first; callers of a zone take its nodes in turn. */
    listFor(zone: string): string[] {
      const listed = known.get(zone) ?? [...addresses];
      const position = next++ % listed.length;
      return [...listed.slice(position), ...listed.slice(0, position)];
    },
  };
}

/** Nodes of the caller's own zone; all, where it has none. */
function sortByZone(points: readonly { address: string; zone: string }[], zone: string): string[] {
  const own: string[] = [];
  const all: string[] = [];
  for (const point of points) {
    all.push(point.address);
    if (point.zone === zone) own.push(point.address);
  }
  return own.length > 0 ? own : all;
}

async function sendSomewhere(
  experiment: Experiment,
  addresses: readonly string[],
  sending: Sending,
  dispatcher: Agent,
): Promise<Omit<Outcome, 'latenessMs'>> {
  const { arrival } = sending;
  for (const address of addresses.slice(0, MAX_ADDRESSES_TRIED)) {
    try {
      return await send(experiment, address, sending, dispatcher);
    } catch (error) {
      if (!(error instanceof AddressUnreachable)) throw error;
    }
  }
  const { id, team, isLarge, atMs } = arrival;
  const nothing = { totalMs: 0, gapsMs: [], promptTokens: 0, cachedTokens: 0 };
  const reason = 'no node reached';
  return { id, team, isLarge, class: arrival.class, atMs, result: 'refused', reason, ...nothing };
}

/**
 * Does a job.
 *
 * @param job what to send, where and when
 */
export async function generate(job: GeneratorJob): Promise<GeneratorReport> {
  const experiment = loadExperiment(job.deployment, job.phaseSeconds);
  const texts = createTexts(experiment, job.offer.seed);
  const own: Arrival[] = [];
  for (const arrival of createArrivals(experiment, job.offer)) {
    if (arrival.id % job.count === job.index) own.push(arrival);
  }
  const dispatcher = new Agent({ connections: null, pipelining: 1, headersTimeout: 60_000 });
  const points = createEntryPoints(job.addresses, experiment.deployment.zones);
  await points.refresh();
  const timer = setInterval(() => void points.refresh(), ENTRY_POINTS_EVERY_MS);
  await sleep(Math.max(0, job.startAt - Date.now()));

  const startedAt = performance.now();
  const delay = monitorEventLoopDelay({ resolution: 5 });
  delay.enable();
  const cpu = process.cpuUsage();
  const running: Promise<Outcome>[] = [];
  for (const arrival of own) {
    const waitMs = startedAt + arrival.atMs - performance.now();
    if (waitMs > 1) await sleep(waitMs);
    running.push(run(arrival));
  }
  const outcomes = await Promise.all(running);
  const elapsedMs = performance.now() - startedAt;
  const used = process.cpuUsage(cpu);
  clearInterval(timer);
  await dispatcher.close();
  return {
    outcomes,
    cpuShare: (used.user + used.system) / MICROS_PER_MS / elapsedMs,
    loopDelayMs: delay.percentile(P99) / NANOS_PER_MS,
  };

  async function run(arrival: Arrival): Promise<Outcome> {
    const latenessMs = Math.max(0, performance.now() - startedAt - arrival.atMs);
    const sending: Sending = {
      arrival,
      prompt: texts.promptOf(arrival),
      apiKey: apiKeyOf(arrival.team),
      idempotencyKey: `${job.runId}-${arrival.id}`,
    };
    const addresses = points.listFor(arrival.zone);
    const outcome = await sendSomewhere(experiment, addresses, sending, dispatcher);
    return { ...outcome, latenessMs };
  }
}
