// Guards against bodies that are held for ever because their sender stalls.
import { expect } from 'chai';
import { connect, type Socket } from 'node:net';
import { heads, until } from '../fixtures/gateway.js';
import { startRawFleet, type RawFleet } from '../fixtures/raw-fleet.js';

const LIMIT_MS = 300;

describe('a caller that stalls within its body', () => {
  let fleet: RawFleet;
  let socket: Socket;

  beforeEach(async () => {
    fleet = await startRawFleet();
  });

  afterEach(async () => {
    socket.destroy();
    await fleet.close();
  });

  for (const length of ['Content-Length: 100', 'Transfer-Encoding: chunked']) {
    it(`is told at its time limit that the request did not run (${length})`, async () => {
      const headers = { ...heads('stalled'), 'X-Request-Deadline-Ms': String(LIMIT_MS) };
      const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
      let answer = '';
      let hasEnded = false;
      socket = connect(fleet.port, '127.0.0.1');
      socket.on('data', (chunk) => (answer += String(chunk)));
      socket.on('close', () => (hasEnded = true));
      socket.write(['POST /once/x HTTP/1.1', ...lines, length, '', 'a'].join('\r\n'));
      await until(() => hasEnded);
      expect(answer).to.match(/^HTTP\/1.1 503 /);
      expect(answer).to.match(/retry-after/i);
      const refused = fleet.gateway.log.lines.filter(({ event }) => event === 'requestRefused');
      expect(refused.map(({ fields }) => fields.reason)).to.deep.equal(['body-late']);
    });
  }
});
