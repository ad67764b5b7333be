import { expect } from 'chai';
import { WebSocket } from 'ws';
import type { Log } from '../../src/events/index.js';
import {
  keyOf,
  MODEL,
  OPERATOR_TOKEN,
  PEER_KEY,
  startCluster,
  type Cluster,
} from '../fixtures/cluster.js';

describe('secrets', () => {
  const lines: string[] = [];
  const log: Log = {
    write(event, fields) {
      lines.push(JSON.stringify([event, fields]));
    },
  };
  let cluster: Cluster;

  before(async () => {
    cluster = await startCluster({ nodes: 2, workers: 0, log });
  });

  after(() => cluster.stop());

  it('appear neither in the log nor in metrics, for valid and invalid requests', async () => {
    const [node] = cluster.nodes;
    const send = (key: string, body: object) =>
      fetch(`${node?.origin ?? ''}/v1/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${key}` },
        body: JSON.stringify(body),
      });
    const good = { model: MODEL, prompt: 'Is it 1-3-4-2?' };
    expect((await send(keyOf('kumasi'), good)).status).to.equal(200);
    expect((await send(keyOf('kumasi'), { ...good, n: 3 })).status).to.equal(400);
    expect((await send('guessed-key-of-somebody', good)).status).to.equal(401);
    const metrics = await (await node?.operate('/metrics'))?.text();
    const written = [...lines, metrics ?? ''].join('\n');
    expect(written).to.contain('requestFinished');
    for (const secret of [keyOf('kumasi'), 'guessed-key', OPERATOR_TOKEN, PEER_KEY]) {
      expect(written).not.to.contain(secret);
    }
  });

  it('a process without the peer key is disconnected after the handshake message', async () => {
    const address = cluster.nodes[0]?.addresses.peer ?? '';
    const socket = new WebSocket(`ws://${address}`);
    let received = 0;
    const closed = new Promise((resolve) => socket.once('close', resolve));
    socket.on('message', () => {
      received += 1;
      socket.send(Buffer.from([0x81, 0xa4, 0x74, 0x79, 0x70, 0x65, 0xa1, 0x78]));
    });
    await closed;
    expect(received).to.equal(1);
    expect(lines.some((line) => /peerRejected|frameMalformed/.test(line))).to.equal(true);
  });
});
