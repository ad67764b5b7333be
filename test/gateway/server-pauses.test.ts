// Guards against gateways that send to a server before its Retry-After has passed, also when another gateway schedules
// the requests.
import { expect } from 'chai';
import { startSignallingFleet, type SignallingFleet } from '../fixtures/signalling-fleet.js';

const PAUSE_MS = 1_500;
/** Tolerance for the delay between a response and the test's clock, in ms. */
const SLACK_MS = 200;

describe('a server that requests a pause with Retry-After', () => {
  let fleet: SignallingFleet;

  beforeEach(async () => {
    fleet = await startSignallingFleet();
  });
  afterEach(() => fleet.close());

  const paused: readonly [what: string, id: string, path: string][] = [
    ['a server of a plain service', 'p0', '/any/7'],
    ['a decode engine', 'g0', '/single/7'],
    ['a prefill engine', 'r0', '/single/7'],
  ];
  for (const [what, id, path] of paused) {
    it(`gets no requests from the gateway during the pause, and again after it, as ${what}`, async () => {
      const server = fleet.serverOf(id);
      server.turnAway({ 'Retry-After': String(PAUSE_MS / 1_000) });
      await fleet.askUntilReached([server], path);
      const pausedUntil = performance.now() + PAUSE_MS - SLACK_MS;
      const before = server.received().length;
      server.turnAway(undefined);
      while (performance.now() < pausedUntil) await fleet.askAt(0, path);
      expect(server.received().length).to.equal(before);
      await fleet.askUntilReached([server], path);
    }).timeout(8_000);
  }

  it('makes the gateway refuse at once with Retry-After if all other servers are paused too', async () => {
    for (const page of fleet.pages) page.turnAway({ 'Retry-After': '2' });
    await fleet.askOften('/any/7', 6, 0);
    const before = fleet.pages.map((page) => page.received().length);
    const answer = await fleet.askAt(0, '/any/7');
    expect(answer.status).to.equal(503);
    expect(Number(answer.headers['retry-after'])).to.be.within(1, 3);
    expect(fleet.pages.map((page) => page.received().length)).to.deep.equal(before);
  });
});
