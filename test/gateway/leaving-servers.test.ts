// A server said in all its answers that it leaves, and went on getting 5 to 12 requests a second for twelve seconds, until
// the registry said so as well: the store was away ("storeLost" at all gateways), and no gateway read what the server said.
import { expect } from 'chai';
import { until, type GatewayFixture } from '../fixtures/gateway.js';
import {
  GATEWAYS,
  startSignallingFleet,
  type SignallingFleet,
} from '../fixtures/signalling-fleet.js';

describe('a server that says in its answers that it leaves', () => {
  let fleet: SignallingFleet;

  beforeEach(async () => {
    fleet = await startSignallingFleet();
  });
  afterEach(() => fleet.close());

  const answers: readonly [answer: string, id: string, path: string][] = [
    ['a success', 'p0', '/any/7'],
    ['the head of a stream', 'g0', '/single/7'],
    ['the answer to a reading', 'r0', '/single/7'],
  ];
  for (const [answer, id, path] of answers) {
    it(`gets nothing more from any gateway where ${answer} says so`, async () => {
      const server = fleet.serverOf(id);
      server.say({ 'Server-Leaving': '1' });
      await fleet.askUntilReached([server], path);
      const before = server.received().length;
      await fleet.askOften(path, 12, 0);
      expect(server.received().length).to.equal(before);
      await until(() => fleet.gateways.every((gateway) => hasRetired(gateway, id)));
      const statuses = await fleet.askOften(path, 12);
      expect(server.received().length).to.be.at.most(before + GATEWAYS);
      expect(statuses).to.deep.equal(Array<number>(12).fill(200));
    }).timeout(8_000);
  }
});

function hasRetired({ log }: GatewayFixture, id: string): boolean {
  return log.lines.some(({ event, fields }) => event === 'serverRetired' && fields.server === id);
}
