import { expect } from 'chai';
import { createSeededRandom } from '../../src/task/index.js';
import { createFakeClock, settle } from '../fixtures/fake-clock.js';
import {
  createQuarantineFleet,
  type FleetAnswer,
  type FleetRequest,
  type QuarantineGateway,
} from '../fixtures/quarantine-fleet.js';

/** Number of random fleets. In each, servers crash by chance and, in some, because of a fatal request. */
const FLEETS = 2_000;
const SECOND_MS = 1_000;
/** Servers that one request may crash: three until it is banned, and at most three after that. */
const MAX_CRASHES = 6;

function resolvePage(path: string): FleetRequest {
  return { path, runMs: 40, endsServers: false };
}

const fatal: FleetRequest = { path: '/fatal', runMs: 60, endsServers: true };

/** A fleet and the outcome of each request to it. */
function createScenario(seed: number, terms = { gateways: 7, servers: 10, awayMs: 3_000 }) {
  const time = createFakeClock();
  const random = createSeededRandom(seed);
  const fleet = createQuarantineFleet(time.clock, random, terms);
  const answers: { path: string; answer: FleetAnswer }[] = [];

  function chooseGateway(): QuarantineGateway {
    const up = fleet.gateways.filter(({ isCut }) => !isCut);
    return up[Math.floor(random.next() * up.length)] ?? fleet.gatewayAt(0);
  }

  function ask(request: FleetRequest, gateway = chooseGateway()): void {
    void fleet.ask(gateway, request).then((answer) => {
      answers.push({ path: request.path, answer });
    });
  }

  function countAnswers(path: string, answer: FleetAnswer): number {
    return answers.filter((one) => one.path.startsWith(path) && one.answer === answer).length;
  }

  return { ...time, random, fleet, answers, ask, chooseGateway, countAnswers };
}

describe('a fleet with crashing servers', () => {
  it('bans a request after three crashes, whichever gateways it is sent to', async () => {
    const scenario = createScenario(1);
    for (let index = 0; index < 20; index += 1) {
      scenario.ask(fatal, scenario.fleet.gateways[index % 7]);
      await scenario.advance(200);
    }
    expect(scenario.fleet.ended).to.have.length(3);
    expect(scenario.countAnswers('/fatal', 'banned')).to.equal(17);
  });

  it('runs a suspected request on one server at a time when all gateways receive it at once', async () => {
    const scenario = createScenario(2);
    scenario.ask(fatal);
    await scenario.advance(100);
    for (const gateway of scenario.fleet.gateways) scenario.ask(fatal, gateway);
    await scenario.advance(2_000);
    expect(scenario.fleet.ended).to.have.length(3);
    expect(scenario.countAnswers('/fatal', 'banned')).to.equal(5);
  });

  it('counts simultaneous crashes once for a page that is requested everywhere', async () => {
    const scenario = createScenario(3);
    for (const gateway of scenario.fleet.gateways) scenario.ask(resolvePage('/page'), gateway);
    await scenario.advance(10);
    for (const server of [...scenario.fleet.servers]) scenario.fleet.end(server);
    await scenario.advance(4_000);
    for (const gateway of scenario.fleet.gateways) scenario.ask(resolvePage('/page'), gateway);
    await scenario.advance(2_000);
    expect(scenario.countAnswers('/page', 'served')).to.equal(7);
  });

  it('runs two suspected requests on different servers, so that a crash counts against one only', async () => {
    const scenario = createScenario(4, { gateways: 3, servers: 2, awayMs: 50 });
    const slow = { path: '/slow', runMs: 400, endsServers: false };
    const [first, second] = scenario.fleet.servers;
    scenario.ask(slow);
    scenario.ask(slow);
    scenario.ask(fatal);
    await scenario.advance(20);
    if (first !== undefined) scenario.fleet.end(first);
    if (second !== undefined) scenario.fleet.end(second);
    await scenario.advance(200);
    // both requests are suspected now, each with one crash
    scenario.ask(slow);
    await scenario.advance(10);
    scenario.ask(fatal);
    await scenario.advance(1_000);
    expect(scenario.countAnswers('/slow', 'served')).to.equal(1);
  });

  for (const pair of [2, 4, 8]) {
    it(`bans each of ${pair} fatal requests that always run together`, async () => {
      const scenario = createScenario(9, { gateways: 3, servers: 40, awayMs: 500 });
      for (let round = 0; round < 15; round += 1) {
        for (let index = 0; index < pair; index += 1) {
          scenario.ask({ ...fatal, path: `/fatal/${index}` }, scenario.fleet.gateways[round % 3]);
        }
        await scenario.advance(700);
      }
      for (let index = 0; index < pair; index += 1) {
        const ended = scenario.fleet.ended.filter(({ path }) => path === `/fatal/${index}`);
        expect(ended.length).to.be.at.most(MAX_CRASHES);
      }
    });
  }

  it('updates a partitioned gateway with the first heartbeat after the partition', async () => {
    const scenario = createScenario(5);
    const away = scenario.fleet.gatewayAt(6);
    away.isCut = true;
    for (let index = 0; index < 3; index += 1) {
      scenario.ask(fatal, scenario.fleet.gateways[index]);
      await scenario.advance(300);
    }
    expect(away.quarantine.bans()).to.have.length(0);
    away.isCut = false;
    scenario.fleet.beat();
    await scenario.advance(10);
    expect(away.quarantine.bans()).to.have.length(1);
  });

  it('updates a gateway that has just started', async () => {
    const scenario = createScenario(6);
    for (let index = 0; index < 3; index += 1) {
      scenario.ask(fatal);
      await scenario.advance(300);
    }
    const fresh = scenario.fleet.addGateway('fresh');
    scenario.fleet.beat();
    await scenario.advance(10);
    scenario.ask(fatal, fresh);
    await settle();
    expect(scenario.countAnswers('/fatal', 'banned')).to.equal(1);
  });

  it('clears a request at all gateways after a success', async () => {
    const scenario = createScenario(7);
    for (let index = 0; index < 3; index += 1) {
      scenario.ask(resolvePage('/page'), scenario.fleet.gateways[0]);
      await scenario.advance(10);
      for (const server of [...scenario.fleet.servers]) scenario.fleet.end(server);
      await scenario.advance(3_500);
      scenario.ask(resolvePage('/page'), scenario.fleet.gateways[1]);
      await scenario.advance(500);
    }
    expect(scenario.countAnswers('/page', 'lost')).to.equal(3);
    expect(scenario.countAnswers('/page', 'served')).to.equal(3);
  });

  it('lifts a ban at all gateways from any of them', async () => {
    const scenario = createScenario(8);
    for (let index = 0; index < 3; index += 1) {
      scenario.ask(fatal);
      await scenario.advance(300);
    }
    const [first, last] = [scenario.fleet.gatewayAt(0), scenario.fleet.gatewayAt(6)];
    const fingerprint = first.quarantine.bans()[0]?.fingerprint ?? '';
    expect(last.quarantine.lift(fingerprint)).to.equal(true);
    await scenario.advance(20);
    expect(first.quarantine.bans()).to.have.length(0);
  });

  it(`bans fatal requests in time, and no others, in ${FLEETS} random fleets`, async function () {
    this.timeout(120_000);
    let lost = 0;
    for (let seed = 1; seed <= FLEETS; seed += 1) {
      const scenario = createScenario(seed, {
        gateways: 3 + (seed % 5),
        servers: 4 + (seed % 9),
        awayMs: 3_000,
      });
      await runScenario(scenario, seed % 4 === 0);
      const label = `seed ${seed}`;
      expect(scenario.countAnswers('/page', 'banned'), label).to.equal(0);
      expect(scenario.countAnswers('/own', 'banned'), label).to.equal(0);
      expect(scenario.fleet.ended.length, label).to.be.at.most(MAX_CRASHES);
      lost += scenario.countAnswers('/page', 'lost') + scenario.countAnswers('/own', 'lost');
    }
    // without lost harmless requests the test would show nothing
    expect(lost).to.be.above(FLEETS);
  });

  /** Sends shared pages, requests of single callers that repeat lost ones, and a fatal request, while servers crash at
   * random: one server, 15 % of them, an availability zone, or all. */
  async function runScenario(
    scenario: ReturnType<typeof createScenario>,
    hasFatal: boolean,
  ): Promise<void> {
    const { random, fleet } = scenario;
    for (let step = 0; step < 30; step += 1) {
      for (let page = 0; page < 3; page += 1) scenario.ask(resolvePage(`/page/${page}`));
      scenario.ask({
        path: `/own/${step % 6}`,
        runMs: 20 + 400 * random.next(),
        endsServers: false,
      });
      if (hasFatal && step % 3 === 0) scenario.ask(fatal);
      if (random.next() < 0.12) crashSome(fleet, random.next(), random.next());
      await scenario.advance(SECOND_MS * 0.1 * (0.5 + random.next()));
    }
    await scenario.advance(SECOND_MS);
  }

  function crashSome(
    { servers, end }: ReturnType<typeof createScenario>['fleet'],
    kind: number,
    which: number,
  ): void {
    for (const server of [...servers]) {
      const index = Number(server.entry.address);
      const isAll = kind < 0.1;
      const isZone = kind < 0.4 && index % 3 === Math.floor(which * 3);
      const isShare = kind >= 0.4 && kind < 0.8 && (index * 0.37 + which) % 1 < 0.15;
      const isOne = kind >= 0.8 && index === Math.floor(which * servers.length);
      if (isAll || isZone || isShare || isOne) end(server);
    }
  }
});
