/**
 * Plays a pattern of load against the scheduler of a service, in virtual time: the decisions are the
 * product's own, the engines are emulated. Callers that are turned away come back once, as told.
 */
import { match } from 'ts-pattern';
import { Ok } from 'ts-results-es';
import { createSendLimits } from '../../src/backpressure/index.js';
import { createSilentLog } from '../../src/events/index.js';
import { createGatewayMetrics } from '../../src/metrics/index.js';
import type { RegisteredServer } from '../../src/fleet/index.js';
import {
  createLatencyModels,
  createScheduler,
  type Decision,
  type Job,
  type LatencyModels,
  type Scheduler,
  type SchedulingMechanisms,
} from '../../src/scheduling/index.js';
import { createSeededRandom } from '../../src/task/index.js';
import { createVirtualTime } from '../faults/fakes/virtual-time.js';
import { listArrivals, type Arrival } from './arrivals.js';
import { createEmulatedEngine, type EmulatedEngine } from './emulated-engine.js';
import type { Pattern } from './pattern.js';

/** Way between two gateways or to an engine, in ms. */
const WAY_MS = 1;
/** Time after the last request in which what is under way may end, in ms. */
const END_MS = 10_000;
const MS_PER_SECOND = 1_000;

/** What became of the requests of a kind. */
export interface Tally {
  asked: number;
  /** First event and all pauses within the objectives, from the first attempt on. */
  onTime: number;
  late: number;
  /** Turned away, and that again where the caller came back. */
  refused: number;
  /** Ended with an engine, or unfinished at its deadline. */
  failed: number;
}

/** One request that was asked for. */
export interface Asked {
  kind: string;
  tokens: number;
  /** Answered in whole before its deadline, on time or late. */
  isServed: boolean;
}

/** What a play gave. */
export interface Outcome {
  byKind: Map<string, Tally>;
  asked: Asked[];
  /** When each engine got its requests, in ms. */
  arrivals: Map<string, number[]>;
}

type EngineLimit = Extract<Pattern['events'][number], { what: 'engine-limited' }>;

/** How a pattern is played. */
export interface PlayTerms {
  seed: number;
  mechanisms: SchedulingMechanisms;
}

/**
 * Plays a pattern.
 *
 * @param pattern the load
 * @param terms the seed, and the mechanisms that are on
 */
export async function play(pattern: Pattern, { seed, mechanisms }: PlayTerms): Promise<Outcome> {
  const time = createVirtualTime();
  const { fleet } = pattern;
  const engines = new Map<string, EmulatedEngine>();
  const byKind = new Map<string, Tally>();
  const arrivals = new Map<string, number[]>();
  const askedById = new Map<string, Asked>();
  /** Limits that engines name, in requests a second. */
  const limitsPerS = new Map<string, number>();
  let latencyModels: LatencyModels = createLatencyModels();
  let scheduler: Scheduler = startScheduler();

  function noteArrival(engine: string): void {
    const known = arrivals.get(engine) ?? [];
    arrivals.set(engine, known);
    known.push(time.now());
  }

  function addEngine(id: string, role: 'prefill' | 'decode'): void {
    engines.set(id, createEmulatedEngine(id, role, fleet, time));
  }

  function listServers(): RegisteredServer[] {
    return [...engines.values()].map(({ id, role }) => ({
      id,
      role,
      service: 'chat',
      address: id,
      zone: 'zone',
      slots: fleet.slots,
      isLeaving: false,
      warmUpMs: 0,
    }));
  }

  function startScheduler(): Scheduler {
    return createScheduler({
      clock: time,
      log: createSilentLog(),
      metrics: createGatewayMetrics(),
      mechanisms,
      latencyModels,
      engines: listServers,
      cacheTokens: () => fleet.cacheTokens,
      caches: { list: ({ id }) => Promise.resolve(Ok(engines.get(id)?.cached() ?? [])) },
      limits: createSendLimits({
        clock: time,
        random: createSeededRandom(seed),
        limitOf: (engine) => limitsPerS.get(engine),
        isAllocator: () => true,
        gateways: () => 1,
      }),
    });
  }

  function tallyOf(kind: string): Tally {
    const known = byKind.get(kind) ?? { asked: 0, onTime: 0, late: 0, refused: 0, failed: 0 };
    byKind.set(kind, known);
    return known;
  }

  function ask(arrival: Arrival, attempt: number): void {
    const { kind } = arrival;
    const spentMs = time.now() - arrival.atMs;
    const job: Job = {
      id: `${arrival.id}/${attempt}`,
      service: 'chat',
      requestId: arrival.id,
      prompt: arrival.prompt,
      rank: kind.rank,
      pauseMs: kind.pauseMs,
      elapsedMs: 0,
      aimLeftMs: kind.aimMs,
      timeLeftMs: kind.deadlineMs - spentMs,
      isReturn: attempt > 0,
      isRead: false,
      zone: 'zone',
      excluded: [],
      paused: [],
      avoided: [],
    };
    scheduler.submit(job, (decision) => {
      time.after(WAY_MS, () => {
        follow(arrival, attempt, job.id, decision);
      });
    });
  }

  function follow(arrival: Arrival, attempt: number, job: string, decision: Decision): void {
    if (decision.kind === 'declined') {
      if (attempt > 0) tallyOf(arrival.kind.name).refused += 1;
      else
        time.after(decision.retryAfterMs, () => {
          ask(arrival, attempt + 1);
        });
      return;
    }
    const { reader, generator } = decision.placement;
    const generating = engines.get(generator);
    if (generating === undefined) {
      fail(arrival, job);
      return;
    }
    const watch = createWatch(arrival, job);
    if (reader === undefined) {
      noteArrival(generator);
      generating.readAndGenerate(arrival.prompt, watch);
      return;
    }
    noteArrival(reader);
    engines.get(reader)?.read(arrival.prompt, () => {
      time.after(WAY_MS, () => {
        noteArrival(generator);
        scheduler.prefillCompleted(job);
        generating.fetch(arrival.prompt, watch);
      });
    });
  }

  function fail(arrival: Arrival, job: string): void {
    scheduler.finished(job, 'failed');
    tallyOf(arrival.kind.name).failed += 1;
  }

  function createWatch({ id, atMs, kind }: Arrival, job: string) {
    let firstAt = Number.POSITIVE_INFINITY;
    return {
      begun() {
        firstAt = time.now() + WAY_MS;
        scheduler.firstTokenReceived(job);
      },
      ended(longestPauseMs: number) {
        scheduler.finished(job, 'good');
        const tally = tallyOf(kind.name);
        const isOnTime = firstAt - atMs <= kind.aimMs && longestPauseMs <= kind.pauseMs;
        const asked = askedById.get(id);
        const isServed = time.now() - atMs <= kind.deadlineMs;
        if (asked !== undefined) asked.isServed = isServed;
        if (!isServed) tally.failed += 1;
        else if (isOnTime) tally.onTime += 1;
        else tally.late += 1;
      },
    };
  }

  function loseEngine(id: string, backAfterMs: number | undefined): void {
    const engine = engines.get(id);
    if (engine === undefined) return;
    engine.end();
    engines.delete(id);
    scheduler.forget(id);
    if (backAfterMs === undefined) return;
    time.after(backAfterMs, () => {
      addEngine(`${id}'`, engine.role);
    });
  }

  function limitEngine({ engine, perSecond, atS, untilS }: EngineLimit): void {
    limitsPerS.set(engine, perSecond);
    time.after((untilS - atS) * MS_PER_SECOND, () => {
      limitsPerS.delete(engine);
    });
  }

  function loseScheduler(): void {
    latencyModels = createLatencyModels();
    scheduler = startScheduler();
  }

  for (let index = 0; index < fleet.readers; index += 1) addEngine(`r${index + 1}`, 'prefill');
  for (let index = 0; index < fleet.generators; index += 1) addEngine(`g${index + 1}`, 'decode');
  for (const event of pattern.events) {
    time.after(event.atS * MS_PER_SECOND, () => {
      match(event)
        .with({ what: 'scheduler-lost' }, loseScheduler)
        .with({ what: 'engine-lost' }, ({ engine, backAfterS }) => {
          loseEngine(engine, backAfterS && backAfterS * MS_PER_SECOND);
        })
        .with({ what: 'engine-limited' }, limitEngine)
        .exhaustive();
    });
  }
  for (const arrival of listArrivals(pattern, seed)) {
    time.after(arrival.atMs, () => {
      const { id, kind, prompt } = arrival;
      tallyOf(kind.name).asked += 1;
      askedById.set(id, { kind: kind.name, tokens: prompt.tokens, isServed: false });
      ask(arrival, 0);
    });
  }
  await time.runUntil(pattern.seconds * MS_PER_SECOND + END_MS);
  return { byKind, asked: [...askedById.values()], arrivals };
}

/**
 * Plays a pattern once with each seed, one play after the other.
 *
 * @param pattern the load
 * @param seeds the seeds
 * @param mechanisms the mechanisms that are on
 */
export async function playSeeds(
  pattern: Pattern,
  seeds: readonly number[],
  mechanisms: SchedulingMechanisms,
): Promise<Outcome[]> {
  const outcomes: Outcome[] = [];
  for (const seed of seeds) {
    outcomes.push(await play(pattern, { seed, mechanisms }));
  }
  return outcomes;
}

/**
 * Share of the requests that were on time, of one kind or of all.
 *
 * @param outcome what a play gave
 * @param kind `undefined` for all
 */
export function resolveOnTimeShare({ byKind }: Outcome, kind?: string): number {
  let asked = 0;
  let onTime = 0;
  for (const [name, tally] of byKind) {
    if (kind !== undefined && name !== kind) continue;
    asked += tally.asked;
    onTime += tally.onTime;
  }
  return asked === 0 ? 1 : onTime / asked;
}

/**
 * Share of the requests of a kind that were served, of those in a range of its sizes.
 *
 * @param outcomes what plays gave
 * @param kind the kind
 * @param from where the range begins, as a share of the requests in order of their size; 0 for the smallest
 * @param to where it ends
 */
export function resolveServedShare(
  outcomes: readonly Outcome[],
  kind: string,
  from = 0,
  to = 1,
): number {
  const ofKind = outcomes.flatMap(({ asked }) => asked.filter((one) => one.kind === kind));
  ofKind.sort((left, right) => left.tokens - right.tokens);
  const range = ofKind.slice(Math.round(from * ofKind.length), Math.round(to * ofKind.length));
  return range.length === 0 ? 1 : range.filter(({ isServed }) => isServed).length / range.length;
}
