/**
 * What must hold once the faults of a run are over: changes are in force in time, gateways without a path to the servers
 * serve like the others, servers that ask for less get less, and requests that end their servers are refused.
 */
import type { RandomSource } from '../../src/task/index.js';
import type { AskingServers, Asks } from './asking.js';
import { judgeFirstAttempts, type AttemptCount, type Cuts } from './cuts.js';
import type { FatalCount } from './fatal.js';
import type { GatewayProcess } from './gateways.js';
import type { Backend, SoakRoute } from './soak.js';
import { judgeContinued, type StreamCounts } from './streams.js';

/** Time within which a change must be in force, in ms, as the users' pages have it. */
export const IN_FORCE_MS = 2_000;
/** Requests of each kind to each gateway after that. */
const CALM_ROUNDS = 5;
/** Streams that are begun at gateways which are then killed, to see whether they go on. */
const CONTINUED_STREAMS = 40;
/** Time for which streams have to have run to go on after all gateways were killed at once, in ms. */
const STORED_MS = 500;
const NOT_FOUND = 404;
/** How long after a cut first attempts are counted, in ms, and how many at each gateway. */
const CUT_SETTLE_MS = 1_000;
const CUT_ATTEMPTS = 100;
/** Gateways up to which each is asked at the usual interval. */
const FEW_GATEWAYS = 3;
/** How long servers ask for less, in ms: longer than the time for which their limits are counted. */
const ASKING_MS = 5_500;
/** What servers ask for. */
const ASKS: readonly Asks[] = [{ limitPerS: 4 }, { isLeaving: true }, { restS: 2 }];
/** Times that a request that ends its servers comes to each gateway. */
const FATAL_ROUNDS = 6;

/** Status of an answer; `undefined` where there was none. */
export type SeenStatus = number | undefined;

/** A run without further faults. */
export interface CalmRun {
  gateways: readonly GatewayProcess[];
  servers: readonly Backend[];
  cuts: Cuts;
  random: RandomSource;
  asking: AskingServers;
  fatal: FatalCount;
  /** Time between two requests, in milliseconds. */
  requestIntervalMs: number;
  /** Sends a request; the kind is drawn where none is named. */
  sendOne(gateway: GatewayProcess, route?: SoakRoute, fatalName?: string): Promise<SeenStatus>;
  addServer(service: string): Promise<void>;
  /** Has each send of a stream break off after an event, has callers wait, and counts anew what becomes of them. */
  breakStreams(): void;
  /** Has callers continue their streams, which do not break off any more. */
  continueStreams(): void;
  /** Kills gateways at once and waits until they serve again. */
  restart(gateways: readonly GatewayProcess[]): Promise<void>;
  streamCounts(): StreamCounts;
  announceLeaving(server: Backend): void;
  changeRoutes(): void;
  /** Has work waited for by `settle`. */
  track(work: Promise<void>): void;
  settle(): Promise<void>;
}

/**
 * Judges a run; what is asked of gateways presumes that they are not disturbed meanwhile.
 *
 * @returns what was broken
 */
export async function judgeCalm(run: CalmRun): Promise<string[]> {
  return [
    ...(await judgeChanges(run)),
    ...(await judgeCut(run)),
    ...(await judgeStreams(run)),
    ...(await judgeAsking(run)),
    ...(await judgeFatal(run)),
  ];
}

/** Changes of routes and of servers must be in force within their time. It runs while the gateways' time without
 * disturbance does, not after it. */
async function judgeChanges(run: CalmRun): Promise<string[]> {
  const leaving = run.servers.find(({ service }) => service === 'pages');
  if (leaving === undefined) return ['no server is left'];
  run.announceLeaving(leaving);
  run.changeRoutes();
  await pause(IN_FORCE_MS);
  const before = leaving.server.received().length;
  const found: string[] = [];
  for (const gateway of run.gateways) {
    for (let round = 0; round < CALM_ROUNDS; round += 1) {
      const isFound = (await run.sendOne(gateway, 'changed')) !== NOT_FOUND;
      if (!isFound) found.push(`${gateway.node}: changed routes are not in force`);
      await run.sendOne(gateway, 'any');
    }
  }
  if (leaving.server.received().length > before) {
    found.push(`${leaving.id} got a request after it had left`);
  }
  return found;
}

/** First attempts at a gateway without a path to the servers are served like those at the others. */
async function judgeCut(run: CalmRun): Promise<string[]> {
  const cutIndex = Math.floor(run.random.next() * run.cuts.paths.length);
  const lastMs = CUT_SETTLE_MS + CUT_ATTEMPTS * resolveIntervalMs(run) * 2;
  const healed = run.cuts.cutFor(cutIndex, lastMs);
  await pause(CUT_SETTLE_MS);
  const counts = await Promise.all(run.gateways.map((gateway) => makeFirstAttempts(run, gateway)));
  await healed;
  const cut: AttemptCount = { asked: 0, served: 0 };
  const others: AttemptCount = { asked: 0, served: 0 };
  for (const [index, { asked, served }] of counts.entries()) {
    const sum = index === cutIndex ? cut : others;
    sum.asked += asked;
    sum.served += served;
  }
  const found = judgeFirstAttempts(cut, others);
  return found === undefined ? [] : [found];
}

/** Time between two requests to one gateway while all are asked; more gateways are not asked for more in all. */
function resolveIntervalMs({ requestIntervalMs, gateways }: CalmRun): number {
  return requestIntervalMs * Math.max(1, gateways.length / FEW_GATEWAYS);
}

async function makeFirstAttempts(run: CalmRun, gateway: GatewayProcess): Promise<AttemptCount> {
  const statuses: Promise<SeenStatus>[] = [];
  for (let count = 0; count < CUT_ATTEMPTS; count += 1) {
    statuses.push(run.sendOne(gateway));
    await pause(resolveIntervalMs(run));
  }
  const seen = await Promise.all(statuses);
  return { asked: seen.length, served: seen.filter((status) => status === 200).length };
}

/** Streams go on at any gateway, also once the one that began them was killed, or all. */
async function judgeStreams(run: CalmRun): Promise<string[]> {
  const drawn = Math.floor(run.random.next() * run.gateways.length);
  const one = await judgeKilled(run, run.gateways.slice(drawn, drawn + 1));
  const all = await judgeKilled(run, run.gateways);
  const found: string[] = [];
  if (one !== undefined) found.push(`one gateway was killed: ${one}`);
  if (all !== undefined) found.push(`all gateways were killed: ${all}`);
  return found;
}

/** Begins streams at gateways, kills these and has the streams continued. */
async function judgeKilled(
  run: CalmRun,
  killed: readonly GatewayProcess[],
): Promise<string | undefined> {
  run.breakStreams();
  for (let count = 0; count < CONTINUED_STREAMS; count += 1) {
    const gateway = killed[count % killed.length];
    if (gateway === undefined) return 'there is none';
    run.track(run.sendOne(gateway, 'stream').then(() => undefined));
    await pause(run.requestIntervalMs);
  }
  await run.settle();
  await pause(STORED_MS);
  await run.restart(killed);
  run.continueStreams();
  await run.settle();
  return judgeContinued(run.streamCounts());
}

/** Servers that ask for less get less. */
async function judgeAsking(run: CalmRun): Promise<string[]> {
  run.asking.judge();
  for (const asks of ASKS) {
    await run.addServer('pages');
    const server = run.servers.at(-1);
    if (server !== undefined) run.asking.set(server.id, asks);
  }
  const until = performance.now() + ASKING_MS;
  while (performance.now() < until) {
    for (const gateway of run.gateways) {
      run.track(run.sendOne(gateway, 'any').then(() => undefined));
    }
    await pause(run.requestIntervalMs * run.gateways.length);
  }
  await run.settle();
  return run.asking.judge();
}

/** A request that ends its servers is refused everywhere in time. */
async function judgeFatal(run: CalmRun): Promise<string[]> {
  const found: string[] = [];
  for (const route of ['any', 'stream'] as const) {
    for (let round = 0; round < FATAL_ROUNDS; round += 1) {
      for (const gateway of run.gateways) await run.sendOne(gateway, route, 'in-calm');
    }
    found.push(...run.fatal.judge(run.fatal.pathOf(route, 'in-calm')));
  }
  return [...found, ...(await judgeFatalPart(run))];
}

/** A part of prompts that ends its engines is refused everywhere in time, in requests that differ, beside sound ones. */
async function judgeFatalPart(run: CalmRun): Promise<string[]> {
  for (let round = 0; round < FATAL_ROUNDS; round += 1) {
    for (const gateway of run.gateways) {
      await Promise.all([
        run.sendOne(gateway, 'stream'),
        run.sendOne(gateway, 'stream-with-fatal-part'),
      ]);
    }
  }
  return run.fatal.judgePart();
}

/** Waits for a time in milliseconds. */
export function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}
