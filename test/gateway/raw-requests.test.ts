// Guards against bytes that end a gateway: whoever reaches one of its addresses could do so again and again.
import { expect } from 'chai';
import { connect } from 'node:net';
import { startStoreStandIn, type StoreStandIn } from '../../stand-ins/users-platform/index.js';
import { createSeededRandom, type RandomSource } from '../../src/task/index.js';
import { ask, configuration, startGatewayFixture, until } from '../fixtures/gateway.js';
import type { GatewayFixture } from '../fixtures/gateway.js';

const SEED = 20;
/** Drawn requests to each address. */
const DRAWN = 60;
/** A connection on which nothing happens is closed after this time, in ms. */
const PATIENCE_MS = 100;

const PATHS = [
  '//',
  '/%',
  '/%00',
  '*',
  'http://',
  'http://[',
  '//?name=%',
  '/resolve?zone=%zz',
  '',
];
const METHODS = ['GET', 'POST', 'OPTIONS', 'CONNECT', 'HEAD', 'DELETE', 'PRI', 'get'];
const HEADERS = [
  'Host: desk.example',
  'Host: ',
  'Host: a:b:c',
  'X-Request-Id: \u0001',
  'Content-Length: -1',
  'Content-Length: 5',
  'Transfer-Encoding: chunked',
  'Expect: 100-continue',
  'Expect: other',
  'Upgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: x',
  'Upgrade: h2c\r\nConnection: Upgrade',
  'X-Token-Count: a,b\r\nX-Prompt-Prefix: :,:\r\nX-Model: ',
  `X-Long: ${'y'.repeat(20_000)}`,
];

function draw(random: RandomSource): string {
  const pick = (items: readonly string[]) => items[Math.floor(random.next() * items.length)] ?? '';
  if (random.next() < 0.1)
    return Buffer.from(Array.from({ length: 64 }, () => Math.floor(256 * random.next()))).toString(
      'latin1',
    );
  const lines = [`${pick(METHODS)} ${pick(PATHS)} HTTP/1.1`];
  for (let count = Math.floor(4 * random.next()); count > 0; count -= 1) lines.push(pick(HEADERS));
  return `${lines.join('\r\n')}\r\n\r\n${random.next() < 0.3 ? 'zz\r\nbody' : ''}`;
}

function send(port: number, text: string): Promise<void> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => socket.write(text, 'latin1'));
    socket.setTimeout(PATIENCE_MS, () => socket.destroy());
    socket.resume();
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve();
    });
  });
}

describe('a gateway that gets raw bytes at its addresses', () => {
  let store: StoreStandIn;
  let fixture: GatewayFixture;

  beforeEach(async () => {
    store = await startStoreStandIn();
    store.put('op', 'config', configuration(1));
    fixture = await startGatewayFixture('node-1', store.address);
    await until(() => fixture.log.lines.some((line) => line.event === 'routesApplied'));
  });

  afterEach(async () => {
    await fixture.gateway.stop();
    await store.close();
  });

  for (const name of ['callers', 'readiness', 'directory', 'peers', 'metrics'] as const) {
    it(`lives on after those at ${name}`, async () => {
      const random = createSeededRandom(SEED);
      const port = fixture.settings[name]?.port ?? 0;
      const drawn = Array.from({ length: DRAWN }, () => draw(random));
      const texts = [...PATHS.map((path) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`), ...drawn];
      await Promise.all(texts.map((text) => send(port, text)));
      const directory = fixture.settings.directory?.port ?? 0;
      const { status } = await ask(directory, { path: '/resolve?name=desk.example&zone=zone-a' });
      expect(status).to.equal(200);
    });
  }

  it('says that a request to the directory cannot be read', async () => {
    const directory = fixture.settings.directory?.port ?? 0;
    const { status } = await ask(directory, { path: '//' });
    expect(status).to.equal(400);
    expect(fixture.log.lines.some(({ event }) => event === 'statusRequestFailed')).to.equal(true);
  });
});
