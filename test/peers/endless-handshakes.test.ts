// Guards against an address of a peer whose handshake never ends: it was read for ever and not dialled again.
import { expect } from 'chai';
import { createPeerLinks, type LinkListener } from '../../src/peers/links.js';
import { createSystemClock } from '../../src/task/index.js';
import { BLANK_LINES, MAX_TAKEN_BYTES, writeWithoutEnd } from '../fixtures/endless.js';
import { createKeptLog, until } from '../fixtures/gateway.js';
import { startRawServer } from '../fixtures/raw-server.js';

describe('an address of a peer', () => {
  let failed: string[];

  function dial(address: string): void {
    failed = [];
    const listener: Partial<LinkListener> = {
      failed: (given) => failed.push(given),
      closed: () => undefined,
    };
    createPeerLinks(createSystemClock(), createKeptLog(), listener as LinkListener).dial(address);
  }

  it('that sends blank lines without end is given up, so that it is dialled again', async () => {
    const server = await startRawServer(({ connection }) => {
      writeWithoutEnd(connection, BLANK_LINES);
    });
    dial(server.address);
    await until(() => failed.length > 0);
    const [request] = server.received();
    expect(request?.connection.bytesWritten).to.be.below(MAX_TAKEN_BYTES);
    await server.close();
  });

  it('that sends a byte now and then, but no answer, is given up', async () => {
    let timer: NodeJS.Timeout | undefined;
    const server = await startRawServer(({ connection }) => {
      timer = setInterval(() => connection.write('\r\n'), 100);
    });
    dial(server.address);
    await until(() => failed.length > 0);
    clearInterval(timer);
    expect(failed).to.deep.equal([server.address]);
    await server.close();
  });
});
