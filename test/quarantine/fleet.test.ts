import { expect } from 'chai';
import { createSeededRandom } from '../../src/task/index.js';
import { createFakeClock, settle } from '../fixtures/fake-clock.js';
import {
  createQuarantineFleet,
  type FleetAnswer,
  type FleetRequest,
  type QuarantineGateway,
} from '../fixtures/quarantine-fleet.js';

/** Drawn fleets; each has servers that end by chance beside requests that end them. */
const FLEETS = 2_000;
const SECOND_MS = 1_000;
/** Servers that may end under one request: it is banned after three, and no more than three sends may follow. */
const MOST_ENDED = 6;

function resolvePage(path: string): FleetRequest {
  return { path, runMs: 40, endsServers: false };
}

const fatal: FleetRequest = { path: '/fatal', runMs: 60, endsServers: true };

/** Requests of a fleet, and what became of each. */
function createDay(seed: number, terms = { gateways: 7, servers: 10, awayMs: 3_000 }) {
  const time = createFakeClock();
  const random = createSeededRandom(seed);
  const fleet = createQuarantineFleet(time.clock, random, terms);
  const answers: { path: string; answer: FleetAnswer }[] = [];

  function pickGateway(): QuarantineGateway {
    const up = fleet.gateways.filter(({ isCut }) => !isCut);
    return up[Math.floor(random.next() * up.length)] ?? fleet.gatewayAt(0);
  }

  function ask(request: FleetRequest, gateway = pickGateway()): void {
    void fleet.ask(gateway, request).then((answer) => {
      answers.push({ path: request.path, answer });
    });
  }

  function countAnswers(path: string, answer: FleetAnswer): number {
    return answers.filter((one) => one.path.startsWith(path) && one.answer === answer).length;
  }

  return { ...time, random, fleet, answers, ask, pickGateway, countAnswers };
}

describe('a fleet before servers that end', () => {
  it('bans a request once three servers have ended under it, wherever it comes in', async () => {
    const day = createDay(1);
    for (let index = 0; index < 20; index += 1) {
      day.ask(fatal, day.fleet.gateways[index % 7]);
      await day.advance(200);
    }
    expect(day.fleet.ended).to.have.length(3);
    expect(day.countAnswers('/fatal', 'banned')).to.equal(17);
  });

  it('runs a request that comes in everywhere at once at one server at a time', async () => {
    const day = createDay(2);
    day.ask(fatal);
    await day.advance(100);
    for (const gateway of day.fleet.gateways) day.ask(fatal, gateway);
    await day.advance(2_000);
    expect(day.fleet.ended).to.have.length(3);
    expect(day.countAnswers('/fatal', 'banned')).to.equal(5);
  });

  it('counts servers that end at one moment once for a page that is asked for everywhere', async () => {
    const day = createDay(3);
    for (const gateway of day.fleet.gateways) day.ask(resolvePage('/page'), gateway);
    await day.advance(10);
    for (const server of [...day.fleet.servers]) day.fleet.end(server);
    await day.advance(4_000);
    for (const gateway of day.fleet.gateways) day.ask(resolvePage('/page'), gateway);
    await day.advance(2_000);
    expect(day.countAnswers('/page', 'served')).to.equal(7);
  });

  it('keeps two suspected requests off each other, so that the end of one does not count against the other', async () => {
    const day = createDay(4, { gateways: 3, servers: 2, awayMs: 50 });
    const slow = { path: '/slow', runMs: 400, endsServers: false };
    const [first, second] = day.fleet.servers;
    day.ask(slow);
    day.ask(slow);
    day.ask(fatal);
    await day.advance(20);
    if (first !== undefined) day.fleet.end(first);
    if (second !== undefined) day.fleet.end(second);
    await day.advance(200);
    // both are suspected now, each by the end of a server
    day.ask(slow);
    await day.advance(10);
    day.ask(fatal);
    await day.advance(1_000);
    expect(day.countAnswers('/slow', 'served')).to.equal(1);
  });

  for (const pair of [2, 4, 8]) {
    it(`bans each of ${pair} fatal requests that always come together`, async () => {
      const day = createDay(9, { gateways: 3, servers: 40, awayMs: 500 });
      for (let round = 0; round < 15; round += 1) {
        for (let index = 0; index < pair; index += 1) {
          day.ask({ ...fatal, path: `/fatal/${index}` }, day.fleet.gateways[round % 3]);
        }
        await day.advance(700);
      }
      for (let index = 0; index < pair; index += 1) {
        const ended = day.fleet.ended.filter(({ path }) => path === `/fatal/${index}`);
        expect(ended.length).to.be.at.most(MOST_ENDED);
      }
    });
  }

  it('tells a gateway that was cut off, with the first heartbeat after it', async () => {
    const day = createDay(5);
    const away = day.fleet.gatewayAt(6);
    away.isCut = true;
    for (let index = 0; index < 3; index += 1) {
      day.ask(fatal, day.fleet.gateways[index]);
      await day.advance(300);
    }
    expect(away.quarantine.bans()).to.have.length(0);
    away.isCut = false;
    day.fleet.beat();
    await day.advance(10);
    expect(away.quarantine.bans()).to.have.length(1);
  });

  it('tells a gateway that has just started', async () => {
    const day = createDay(6);
    for (let index = 0; index < 3; index += 1) {
      day.ask(fatal);
      await day.advance(300);
    }
    const fresh = day.fleet.addGateway('fresh');
    day.fleet.beat();
    await day.advance(10);
    day.ask(fatal, fresh);
    await settle();
    expect(day.countAnswers('/fatal', 'banned')).to.equal(1);
  });

  it('clears a request that was answered after all, everywhere', async () => {
    const day = createDay(7);
    for (let index = 0; index < 3; index += 1) {
      day.ask(resolvePage('/page'), day.fleet.gateways[0]);
      await day.advance(10);
      for (const server of [...day.fleet.servers]) day.fleet.end(server);
      await day.advance(3_500);
      day.ask(resolvePage('/page'), day.fleet.gateways[1]);
      await day.advance(500);
    }
    expect(day.countAnswers('/page', 'lost')).to.equal(3);
    expect(day.countAnswers('/page', 'served')).to.equal(3);
  });

  it('lets a ban be lifted at any gateway', async () => {
    const day = createDay(8);
    for (let index = 0; index < 3; index += 1) {
      day.ask(fatal);
      await day.advance(300);
    }
    const [first, last] = [day.fleet.gatewayAt(0), day.fleet.gatewayAt(6)];
    const fingerprint = first.quarantine.bans()[0]?.fingerprint ?? '';
    expect(last.quarantine.lift(fingerprint)).to.equal(true);
    await day.advance(20);
    expect(first.quarantine.bans()).to.have.length(0);
  });

  it(`bans nothing but what ends servers, and that in time, in ${FLEETS} drawn fleets`, async function () {
    this.timeout(120_000);
    let lost = 0;
    for (let seed = 1; seed <= FLEETS; seed += 1) {
      const day = createDay(seed, {
        gateways: 3 + (seed % 5),
        servers: 4 + (seed % 9),
        awayMs: 3_000,
      });
      await playDay(day, seed % 4 === 0);
      const label = `seed ${seed}`;
      expect(day.countAnswers('/page', 'banned'), label).to.equal(0);
      expect(day.countAnswers('/own', 'banned'), label).to.equal(0);
      expect(day.fleet.ended.length, label).to.be.at.most(MOST_ENDED);
      lost += day.countAnswers('/page', 'lost') + day.countAnswers('/own', 'lost');
    }
    // the fleets have to put requests that end nothing to the test
    expect(lost).to.be.above(FLEETS);
  });

  /** Pages that all ask for, requests of one caller each that come again when they are lost, and a fatal one, while
   * servers end by chance: one alone, 15 in 100, an availability zone, or all of them. */
  async function playDay(day: ReturnType<typeof createDay>, hasFatal: boolean): Promise<void> {
    const { random, fleet } = day;
    for (let step = 0; step < 30; step += 1) {
      for (let page = 0; page < 3; page += 1) day.ask(resolvePage(`/page/${page}`));
      day.ask({ path: `/own/${step % 6}`, runMs: 20 + 400 * random.next(), endsServers: false });
      if (hasFatal && step % 3 === 0) day.ask(fatal);
      if (random.next() < 0.12) endSome(fleet, random.next(), random.next());
      await day.advance(SECOND_MS * 0.1 * (0.5 + random.next()));
    }
    await day.advance(SECOND_MS);
  }

  function endSome(
    { servers, end }: ReturnType<typeof createDay>['fleet'],
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
