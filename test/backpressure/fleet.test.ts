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
/** Allowed requests in a window: this factor times the limit, plus the slack. */
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;
/** Time after which a gateway must comply once it has received a signal, in ms. */
const COMPLIANCE_MS = 500;
/** Requests that may reach a server during a pause, per gateway. */
const PAUSE_SLACK = 2;
/** Time after which a gateway must stop sending to a leaving server, in ms. */
const DRAIN_MS = 2_000;
const RECOVERY_MS = 3_000;
const CONTROL_HISTORIES = 40;
const HISTORIES = 1_000;

const controls: readonly [
  without: NonNullable<LimitedFleetTerms['without']>,
  expected: readonly RegExp[],
][] = [
  ['one-allocator', [/in a window/]],
  ['hearing', [/in a window/, /in its rest/, /while it left/]],
];

/** A fleet under load from requests at random gateways. */
function createLoadedFleet(seed: number, terms: Omit<LimitedFleetTerms, 'contactMs'>) {
  const time = createFakeClock();
  const random = createSeededRandom(seed);
  const fleet = createLimitedFleet(time.clock, random, { ...terms, contactMs: RECOVERY_MS });

  /** Sends requests at a constant rate. */
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
    if (server === undefined) throw new Error(`no server with index ${index}`);
    return server;
  }

  return { ...time, random, fleet, load, serverAt };
}

/** Most requests in a window, from gateways that know the limit and were not disturbed. */
function countInWindow(arrivals: readonly LimitedArrival[]): number {
  const counted = arrivals.filter(
    ({ at, toldAt, isCalm }) => isCalm && toldAt !== undefined && at >= toldAt + COMPLIANCE_MS,
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

function countDuringPause(arrivals: readonly LimitedArrival[]): number {
  const counts = new Map<string, number>();
  for (const { at, gateway, isCalm, restSince, restUntil } of arrivals) {
    if (!isCalm || at < restSince + COMPLIANCE_MS || at >= restUntil) continue;
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

describe('fleet with rate-limited servers', () => {
  for (const gateways of [3, 7, 19, 66, 195]) {
    for (const limitPerS of [0.5, 8, 100]) {
      it(`keeps ${gateways} gateways within a limit of ${limitPerS}/s and uses at least half of it`, async () => {
        const scenario = createLoadedFleet(gateways, { gateways, servers: 1 });
        const server = scenario.serverAt(0);
        await scenario.load(150, 500);
        scenario.fleet.name(server, limitPerS);
        await scenario.load(150, 12_000);
        expect(countInWindow(server.arrivals)).to.be.at.most(resolveAllowed(limitPerS));
        const late = server.arrivals.filter(({ at }) => at >= 4_500);
        expect(late.length).to.be.at.least((limitPerS * 8) / 2);
        scenario.fleet.name(server, undefined);
        const before = server.arrivals.length;
        await scenario.load(150, 5_000);
        expect(server.arrivals.length - before).to.be.at.least(150);
      }).timeout(60_000);
    }
  }

  it('sends requests beyond the limits to other servers', async () => {
    const scenario = createLoadedFleet(1, { gateways: 7, servers: 3 });
    await scenario.load(100, 500);
    for (const server of scenario.fleet.servers.slice(0, 2)) scenario.fleet.name(server, 4);
    await scenario.load(100, 6_000);
    expect(scenario.fleet.refused()).to.equal(0);
    for (const server of scenario.fleet.servers.slice(0, 2)) {
      expect(countInWindow(server.arrivals)).to.be.at.most(resolveAllowed(4));
    }
  });

  it('keeps the limit while the allocating gateway is partitioned and after it is back', async () => {
    const scenario = createLoadedFleet(2, { gateways: 19, servers: 1 });
    const server = scenario.serverAt(0);
    await scenario.load(150, 500);
    scenario.fleet.name(server, 8);
    await scenario.load(150, 3_000);
    const [allocator] = scenario.fleet.gateways;
    if (allocator !== undefined) scenario.fleet.cut(allocator, 5_000);
    await scenario.load(150, 12_000);
    expect(countInWindow(server.arrivals)).to.be.at.most(resolveAllowed(8));
  });

  it('keeps the limit when all gateways restart at once', async () => {
    const scenario = createLoadedFleet(3, { gateways: 19, servers: 1 });
    const server = scenario.serverAt(0);
    scenario.fleet.name(server, 8);
    await scenario.load(150, 4_000);
    for (const { index } of [...scenario.fleet.gateways]) scenario.fleet.start(index);
    await scenario.load(150, 10_000);
    expect(countInWindow(server.arrivals)).to.be.at.most(resolveAllowed(8));
  });

  it('detects the end of a limit of 0', async () => {
    const scenario = createLoadedFleet(4, { gateways: 7, servers: 1 });
    const server = scenario.serverAt(0);
    scenario.fleet.name(server, 0);
    await scenario.load(100, 8_000);
    expect(countInWindow(server.arrivals)).to.be.at.most(LIMIT_SLACK);
    scenario.fleet.name(server, undefined);
    await scenario.load(100, 7_000);
    const before = server.arrivals.length;
    await scenario.load(100, 1_000);
    expect(server.arrivals.length - before).to.be.at.least(50);
  });

  it(`complies with all signals in ${HISTORIES} random histories`, async () => {
    for (let seed = 1; seed <= HISTORIES; seed += 1) {
      const violations = await playHistory(seed);
      expect(violations, `seed ${seed}`).to.deep.equal([]);
    }
  }).timeout(600_000);

  for (const [without, expected] of controls) {
    it(`detects violations in random histories without ${without}`, async () => {
      const violations: string[] = [];
      for (let seed = 1; seed <= CONTROL_HISTORIES; seed += 1) {
        violations.push(...(await playHistory(seed, without)));
      }
      for (const pattern of expected) expect(violations.join('\n')).to.match(pattern);
    });
  }
});

/** Runs random server signals and restarts, and gateway partitions and restarts; returns violations. */
async function playHistory(
  seed: number,
  without?: LimitedFleetTerms['without'],
): Promise<string[]> {
  const gateways = [3, 7, 19][seed % 3] ?? 3;
  const scenario = createLoadedFleet(seed, { gateways, servers: 4, ...(without && { without }) });
  const { random, fleet } = scenario;
  const violations: string[] = [];
  const limits = new Map<LimitedServer, number>();

  function checkServer(server: LimitedServer): void {
    const limitPerS = limits.get(server);
    const count = countInWindow(server.arrivals);
    if (limitPerS !== undefined && count > resolveAllowed(limitPerS)) {
      violations.push(`${server.entry.id} got ${count} in a window at ${limitPerS} a second`);
    }
    const duringPause = countDuringPause(server.arrivals);
    if (duringPause > PAUSE_SLACK)
      violations.push(`${server.entry.id} got ${duringPause} in its rest`);
    const afterLeaving = countAfterLeaving(server.arrivals);
    if (afterLeaving > 0) violations.push(`${server.entry.id} got ${afterLeaving} while it left`);
  }

  function applyRandomEvent(): void {
    const index = Math.floor(random.next() * fleet.servers.length);
    const server = scenario.serverAt(index);
    const gateway = fleet.gateways[Math.floor(random.next() * fleet.gateways.length)];
    const chance = random.next();
    // one limit per server, so that each window has one bound
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
      checkServer(server);
      fleet.restart(index);
    } else if (chance < 0.9 && gateway?.isCut === false) {
      fleet.cut(gateway, 500 + 4_000 * random.next());
    } else if (gateway !== undefined) {
      fleet.start(gateway.index);
    }
  }

  for (let step = 0; step < 24; step += 1) {
    applyRandomEvent();
    await scenario.load(80, 500);
  }
  for (const server of fleet.servers) checkServer(server);
  return violations;
}
