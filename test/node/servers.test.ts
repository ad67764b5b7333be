import { once } from 'node:events';
import { get } from 'node:http';
import { connect } from 'node:net';
import { expect } from 'chai';
import { Hono } from 'hono';
import { stream } from 'hono/streaming';
import { listen } from '../../src/node/servers.js';

const READ_TIMEOUT_MS = 1_000;

function createApp(endsAfter: Promise<void>): Hono {
  const app = new Hono();
  app.get('/', (context) =>
    stream(context, async (sink) => {
      await sink.write('begun');
      await endsAfter;
      await sink.write(', ended');
    }),
  );
  return app;
}

async function read(address: string, onBegun: () => void): Promise<string> {
  const [response] = (await once(get(`http://${address}/`), 'response')) as [AsyncIterable<Buffer>];
  let text = '';
  for await (const piece of response) {
    text += piece.toString();
    onBegun();
  }
  return text;
}

describe('a listener that closes', () => {
  it('lets an answer end, and closes the connection that was kept for more', async () => {
    let end = (): void => undefined;
    const ended = new Promise<void>((resolve) => (end = resolve));
    const listener = await listen(createApp(ended), '127.0.0.1:0', READ_TIMEOUT_MS, 'entry-1');
    let closed: Promise<void> | undefined;
    const text = await read(listener.address, () => {
      closed ??= listener.close(READ_TIMEOUT_MS * 10);
      end();
    });
    await closed;
    expect(text).to.equal('begun, ended');
  });

  it('breaks an answer that never ends when its grace is over', async () => {
    const never = new Promise<void>(() => undefined);
    const listener = await listen(createApp(never), '127.0.0.1:0', READ_TIMEOUT_MS, 'entry-1');
    let closed: Promise<void> | undefined;
    const reading = read(listener.address, () => {
      closed ??= listener.close(0);
    });
    const failed = await reading.then(
      () => false,
      () => true,
    );
    await closed;
    expect(failed).to.equal(true);
  });

  it('does not wait for a connection on which nothing was asked', async () => {
    const app = createApp(Promise.resolve());
    const listener = await listen(app, '127.0.0.1:0', READ_TIMEOUT_MS * 60, 'entry-1');
    const [host = '', port = ''] = listener.address.split(':');
    const socket = connect(Number(port), host);
    await once(socket, 'connect');
    const broken = once(socket, 'close');
    // Closes only after the server has taken the connection.
    await read(listener.address, () => undefined);
    await Promise.all([listener.close(READ_TIMEOUT_MS * 60), broken]);
  });
});
