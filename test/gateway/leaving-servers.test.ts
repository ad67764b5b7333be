// Guards against gateways that keep sending to a leaving server until the registry reports it. While the store is
// unavailable, that report is late.
import { expect } from 'chai';
import { echo, type ScriptedAnswer } from '../../stand-ins/users-platform/index.js';
import { until, type GatewayFixture } from '../fixtures/gateway.js';
import {
  GATEWAYS,
  startSignallingFleet,
  type SignallingFleet,
} from '../fixtures/signalling-fleet.js';

const failWith500: ScriptedAnswer = (request, response) => {
  const id = String(request.headers['x-request-id']);
  response.writeHead(500, { 'X-Request-Id': id, 'X-Server-Signature': 's' }).end('broken');
};
const rejectAsFull: ScriptedAnswer = (request, response) => {
  response.writeHead(503, { ...echo(request), 'X-Not-Executed': '1' }).end();
};

describe('a server that announces in its responses that it is leaving', () => {
  let fleet: SignallingFleet;

  beforeEach(async () => {
    fleet = await startSignallingFleet();
  });
  afterEach(() => fleet.close());

  const announcements: readonly [
    response: string,
    id: string,
    path: string,
    script?: ScriptedAnswer,
  ][] = [
    ['a success', 'p0', '/any/7'],
    ['the head of a stream', 'g0', '/single/7'],
    ['the response to a prefill', 'r0', '/single/7'],
    ['a failure', 'p0', '/any/7', failWith500],
    ['a rejection', 'p0', '/any/7', rejectAsFull],
  ];
  it('gets no more requests from any gateway after announcing it in a response to a platform call', async () => {
    const engine = await fleet.addEngine('g2', { 'Server-Leaving': '1' });
    await until(async () => {
      await fleet.askOften('/single/7', 3);
      return fleet.gateways.every((gateway) => hasRetired(gateway, 'g2'));
    });
    const before = engine.received().length;
    await fleet.askOften('/single/7', 12);
    expect(engine.received().length).to.equal(before);
  }).timeout(60_000);

  for (const [response, id, path, script] of announcements) {
    it(`gets no more requests from any gateway after announcing it in ${response}`, async () => {
      const server = fleet.serverOf(id);
      server.say({ 'Server-Leaving': '1' });
      if (script !== undefined) server.script(script);
      await fleet.askUntilReached([server], path);
      const before = server.received().length;
      await fleet.askOften(path, 12, 0);
      expect(server.received().length).to.equal(before);
      await until(() => fleet.gateways.every((gateway) => hasRetired(gateway, id)));
      const statuses = await fleet.askOften(path, 12);
      expect(server.received().length).to.be.at.most(before + GATEWAYS);
      expect(statuses).to.deep.equal(Array<number>(12).fill(200));
    }).timeout(60_000);
  }
});

function hasRetired({ log }: GatewayFixture, id: string): boolean {
  return log.lines.some(({ event, fields }) => event === 'serverRetired' && fields.server === id);
}
