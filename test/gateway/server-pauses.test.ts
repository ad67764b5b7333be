// An engine turned a gateway away and asked for 3 s of rest, and got 5 more requests from it in that time. Three declines
// in a row made the gateway leave it alone for half a second ("serverAvoided"), after which it was as good as the others;
// and the scheduling gateway, which had not been asked, went on placing requests there for the one that had.
import { expect } from 'chai';
import { startSignallingFleet, type SignallingFleet } from '../fixtures/signalling-fleet.js';

const REST_MS = 1_500;
/** What the test itself may take between an answer and its own clock, in ms. */
const SLACK_MS = 200;

describe('a server that asks a gateway for rest', () => {
  let fleet: SignallingFleet;

  beforeEach(async () => {
    fleet = await startSignallingFleet();
  });
  afterEach(() => fleet.close());

  const resting: readonly [what: string, id: string, path: string][] = [
    ['a server of a plain service', 'p0', '/any/7'],
    ['an engine that generates', 'g0', '/single/7'],
    ['an engine that reads prompts', 'r0', '/single/7'],
  ];
  for (const [what, id, path] of resting) {
    it(`gets nothing from it for so long, and requests again after that, as ${what}`, async () => {
      const server = fleet.serverOf(id);
      server.turnAway({ 'Retry-After': String(REST_MS / 1_000) });
      await fleet.askUntilReached([server], path);
      const restsUntil = performance.now() + REST_MS - SLACK_MS;
      const before = server.received().length;
      server.turnAway(undefined);
      while (performance.now() < restsUntil) await fleet.askAt(0, path);
      expect(server.received().length).to.equal(before);
      await fleet.askUntilReached([server], path);
    }).timeout(8_000);
  }

  it('makes the gateway refuse at once where the others rest too, with a time to come back that holds', async () => {
    for (const page of fleet.pages) page.turnAway({ 'Retry-After': '2' });
    await fleet.askOften('/any/7', 6, 0);
    const before = fleet.pages.map((page) => page.received().length);
    const answer = await fleet.askAt(0, '/any/7');
    expect(answer.status).to.equal(503);
    expect(Number(answer.headers['retry-after'])).to.be.within(1, 3);
    expect(fleet.pages.map((page) => page.received().length)).to.deep.equal(before);
  });
});
