import { expect } from 'chai';
import { createSeededRandom } from '../../src/task/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import {
  createLimitedFleet,
  type LimitedArrival,
  type LimitedFleetTerms,
  type LimitedServer,
} from '../fixtures/limited-fleet.js';

const WINDOW_MS = 4_000;
/** A server gets at most so many times what its limit allows in a window, and a few requests more. */
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;
/** A gateway counts from so long after it has heard, in ms. */
const TOLD_MS = 500;
/** Requests that may reach a server from a gateway that it has asked for rest. */
const REST_SLACK = 2;
/** Time within which a gateway that was told sends nothing more to a server that leaves, in ms. */
const DRAIN_MS = 2_000;
const CONTACT_MS = 3_000;
const CONTROL_HISTORIES = 40;
const HISTORIES = 1_000;

const controls: readonly [
  without: NonNullable<LimitedFleetTerms['without']>,
  finds: readonly RegExp[],
][] = [
  ['one-allocator', [/in a window/]],
  ['hearing', [/in a window/, /in its rest/, /while it left/]],
];

/** Callers that come at drawn gateways at a rate. */
function createDay(seed: number, terms: Omit<LimitedFleetTerms, 'contactMs'>) {
  const time = createFakeClock();
  const random = createSeededRandom(seed);
  const fleet = createLimitedFleet(time.clock, random, { ...terms, contactMs: CONTACT_MS });

  /** Requests come evenly for a while. */
  async function load(perS: number, forMs: number): Promise<void> {
    const stepMs = 1_000 / perS;
    for (let at = 0; at < forMs; at += stepMs) {
      const gateway = fleet.gateways[Math.floor(random.next() * fleet.gateways.length)];
      if (gateway !== undefined) void fleet.ask(gateway);
      await time.advance(stepMs);
    }
  }

  function serverAt(index: number): LimitedServer {
    const server = fleet.servers[index];
    if (server === undefined) throw new Error(`there is no server ${index}`);
    return server;
  }

  return { ...time, random, fleet, load, serverAt };
}

/** Most requests in a window, of gateways that had been told before and were not disturbed. */
function countInWindow(arrivals: readonly LimitedArrival[]): number {
  const counted = arrivals.filter(
    ({ at, toldAt, isCalm }) => isCalm && toldAt !== undefined && at >= toldAt + TOLD_MS,
  );
  let most = 0;
  let from = 0;
  for (const [index, { at }] of counted.entries()) {
    while ((counted[from]?.at ?? at) <= at - WINDOW_MS) from += 1;
    most = Math.max(most, index - from + 1);
  }
  return most;
}

function resolveAllowed(limitPerS: number): number {
  return (LIMIT_FACTOR * limitPerS * WINDOW_MS) / 1_000 + LIMIT_SLACK;
}

function countInRest(arrivals: readonly LimitedArrival[]): number {
  const counts = new Map<string, number>();
  for (const { at, gateway, isCalm, restSince, restUntil } of arrivals) {
    if (!isCalm || at < restSince + TOLD_MS || at >= restUntil) continue;
    const key = `${gateway.node}/${restSince}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return Math.max(0, ...counts.values());
}

function countAfterLeaving(arrivals: readonly LimitedArrival[]): number {
  return arrivals.filter(
    ({ at, leavingToldAt }) => leavingToldAt !== undefined && at > leavingToldAt + DRAIN_MS,
  ).length;
}

describe('a fleet before servers that name limits', () => {
  for (const gateways of [3, 7, 19, 66, 195]) {
    for (const limitPerS of [0.5, 8, 100]) {
      it(`keeps ${gateways} gateways within ${limitPerS} a second, and uses half of it`, async () => {
        const day = createDay(gateways, { gateways, servers: 1 });
        const server = day.serverAt(0);
        await day.load(150, 500);
        day.fleet.name(server, limitPerS);
        await day.load(150, 12_000);
        expect(countInWindow(server.arrivals)).to.be.at.most(resolveAllowed(limitPerS));
        const late = server.arrivals.filter(({ at }) => at >= 4_500);
        expect(late.length).to.be.at.least((limitPerS * 8) / 2);
        day.fleet.name(server, undefined);
        const before = server.arrivals.length;
        await day.load(150, 5_000);
        expect(server.arrivals.length - before).to.be.at.least(150);
      }).timeout(60_000);
    }
  }

  it('gives what a limited server leaves to the others', async () => {
    const day = createDay(1, { gateways: 7, servers: 3 });
    await day.load(100, 500);
    for (const server of day.fleet.servers.slice(0, 2)) day.fleet.name(server, 4);
    await day.load(100, 6_000);
    expect(day.fleet.refused()).to.equal(0);
    for (const server of day.fleet.servers.slice(0, 2)) {
      expect(countInWindow(server.arrivals)).to.be.at.most(resolveAllowed(4));
    }
  });

  it('holds while the gateway that allocates the limit is cut off, and after it is back', async () => {
    const day = createDay(2, { gateways: 19, servers: 1 });
    const server = day.serverAt(0);
    await day.load(150, 500);
    day.fleet.name(server, 8);
    await day.load(150, 3_000);
    const [allocator] = day.fleet.gateways;
    if (allocator !== undefined) day.fleet.cut(allocator, 5_000);
    await day.load(150, 12_000);
    expect(countInWindow(server.arrivals)).to.be.at.most(resolveAllowed(8));
  });

  it('holds when all gateways start anew together', async () => {
    const day = createDay(3, { gateways: 19, servers: 1 });
    const server = day.serverAt(0);
    day.fleet.name(server, 8);
    await day.load(150, 4_000);
    for (const { index } of [...day.fleet.gateways]) day.fleet.start(index);
    await day.load(150, 10_000);
    expect(countInWindow(server.arrivals)).to.be.at.most(resolveAllowed(8));
  });

  it('learns that the limit is over at a server that takes nothing', async () => {
    const day = createDay(4, { gateways: 7, servers: 1 });
    const server = day.serverAt(0);
    day.fleet.name(server, 0);
    await day.load(100, 8_000);
    expect(countInWindow(server.arrivals)).to.be.at.most(LIMIT_SLACK);
    day.fleet.name(server, undefined);
    await day.load(100, 7_000);
    const before = server.arrivals.length;
    await day.load(100, 1_000);
    expect(server.arrivals.length - before).to.be.at.least(50);
  });

  it(`keeps to what servers ask for over ${HISTORIES} drawn histories`, async () => {
    for (let seed = 1; seed <= HISTORIES; seed += 1) {
      const broken = await playHistory(seed);
      expect(broken, `seed ${seed}`).to.deep.equal([]);
    }
  }).timeout(600_000);

  for (const [without, finds] of controls) {
    it(`is found out to break them in a drawn history without ${without}`, async () => {
      const broken: string[] = [];
      for (let seed = 1; seed <= CONTROL_HISTORIES; seed += 1) {
        broken.push(...(await playHistory(seed, without)));
      }
      for (const what of finds) expect(broken.join('\n')).to.match(what);
    });
  }
});

/** Servers that name limits, rest, leave and start again, gateways that are cut off and start anew: all at drawn times. */
async function playHistory(
  seed: number,
  without?: LimitedFleetTerms['without'],
): Promise<string[]> {
  const gateways = [3, 7, 19][seed % 3] ?? 3;
  const day = createDay(seed, { gateways, servers: 4, ...(without && { without }) });
  const { random, fleet } = day;
  const broken: string[] = [];
  const limits = new Map<LimitedServer, number>();

  function close(server: LimitedServer): void {
    const limitPerS = limits.get(server);
    const count = countInWindow(server.arrivals);
    if (limitPerS !== undefined && count > resolveAllowed(limitPerS)) {
      broken.push(`${server.entry.id} got ${count} in a window at ${limitPerS} a second`);
    }
    const resting = countInRest(server.arrivals);
    if (resting > REST_SLACK) broken.push(`${server.entry.id} got ${resting} in its rest`);
    const leaving = countAfterLeaving(server.arrivals);
    if (leaving > 0) broken.push(`${server.entry.id} got ${leaving} while it left`);
  }

  function act(): void {
    const index = Math.floor(random.next() * fleet.servers.length);
    const server = day.serverAt(index);
    const gateway = fleet.gateways[Math.floor(random.next() * fleet.gateways.length)];
    const chance = random.next();
    // one limit a server, so that each window has one bound
    if (chance < 0.3 && !limits.has(server)) {
      const limitPerS = 0.5 + 30 * random.next();
      limits.set(server, limitPerS);
      fleet.name(server, limitPerS);
    } else if (chance < 0.45) {
      server.restMs = 500 + 3_000 * random.next();
    } else if (chance < 0.6) {
      server.restMs = undefined;
    } else if (chance < 0.66) {
      server.isLeaving = true;
    } else if (chance < 0.76) {
      close(server);
      fleet.restart(index);
    } else if (chance < 0.9 && gateway?.isCut === false) {
      fleet.cut(gateway, 500 + 4_000 * random.next());
    } else if (gateway !== undefined) {
      fleet.start(gateway.index);
    }
  }

  for (let step = 0; step < 24; step += 1) {
    act();
    await day.load(80, 500);
  }
  for (const server of fleet.servers) close(server);
  return broken;
}
