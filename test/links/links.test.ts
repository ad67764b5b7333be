import { once } from 'node:events';
import { expect } from 'chai';
import { WebSocket } from 'ws';
import { createSilentLog } from '../../src/events/index.js';
import {
  createLinks,
  createProof,
  decodeFrame,
  encodeFrame,
  type Answer,
  type Frame,
  type Links,
  type Notice,
  type Query,
} from '../../src/links/index.js';
import { createMetrics } from '../../src/metrics/index.js';
import type { Clock } from '../../src/task/index.js';
import { createFakeClock, settle } from '../fixtures/fake-clock.js';

const KEY = 'the-key';
const fate: Query = { kind: 'request.fate', requestId: 'entry-1~1' };
const cancel: Notice = { kind: 'permit.cancel', shard: 'manuals', requestId: '1', attempt: 1 };

/** Links of one node, with what arrived on them. */
function createNode(node: string, clock: Clock, key = KEY) {
  const notices: Notice[] = [];
  const queries: Query[] = [];
  const addresses = new Map<string, string>();
  const kept = new Set<string>();
  const control = { answer: Promise.resolve<Answer>({ kind: 'done' }) };
  const links = createLinks({
    node,
    key,
    listen: '127.0.0.1:0',
    clock,
    log: createSilentLog(),
    metrics: createMetrics(),
    addressOf: (peer) => addresses.get(peer),
    isKept: (peer) => kept.has(peer),
    opened: () => undefined,
    noticeReceived: (_peer, notice) => notices.push(notice),
    queryReceived: (_peer, query) => {
      queries.push(query);
      return control.answer;
    },
  });
  return { links, notices, queries, addresses, kept, control };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await settle();
}

/** A client that speaks frames by hand. */
async function connect(address: string) {
  const socket = new WebSocket(`ws://${address}`);
  const frames: Frame[] = [];
  socket.on('message', (data) => {
    const frame = decodeFrame(data as Buffer);
    if (frame !== undefined) frames.push(frame);
  });
  const closed = once(socket, 'close');
  await until(() => frames.length > 0);
  const [challenge] = frames;
  const nonce = challenge?.type === 'challenge' ? challenge.nonce : '';
  return { socket, frames, closed, nonce };
}

function createProofFrame(key: string, serverNonce: string, clientNonce = 'c'.repeat(32)): Frame {
  const proof = createProof(key, 'client', 'entry-9', { serverNonce, clientNonce });
  return { type: 'proof', node: 'entry-9', nonce: clientNonce, proof };
}

describe('links between nodes', () => {
  const opened: Links[] = [];
  let time: ReturnType<typeof createFakeClock>;

  async function start(node: string, key = KEY) {
    const created = createNode(node, time.clock, key);
    await created.links.listen();
    opened.push(created.links);
    return created;
  }

  beforeEach(() => {
    time = createFakeClock();
  });

  afterEach(async () => {
    for (const links of opened.splice(0)) await links.close();
  });

  it('take no word from a client that proved nothing', async () => {
    const node = await start('entry-1');
    const client = await connect(node.links.address());
    client.socket.send(encodeFrame({ type: 'notice', notice: cancel }));
    client.socket.send(encodeFrame({ type: 'query', id: 1, query: fate }));
    await client.closed;
    expect(node.notices).to.deep.equal([]);
    expect(node.queries).to.deep.equal([]);
    expect(client.frames).to.have.length(1);
  });

  it('refuse a proof made with another key', async () => {
    const node = await start('entry-1');
    const client = await connect(node.links.address());
    client.socket.send(encodeFrame(createProofFrame('another-key', client.nonce)));
    client.socket.send(encodeFrame({ type: 'notice', notice: cancel }));
    await client.closed;
    expect(node.links.peers()).to.deep.equal([]);
    expect(node.notices).to.deep.equal([]);
  });

  it('refuse a proof that was recorded on another link', async () => {
    const node = await start('entry-1');
    const first = await connect(node.links.address());
    const proof = encodeFrame(createProofFrame(KEY, first.nonce));
    first.socket.send(proof);
    await until(() => node.links.peers().length === 1);
    first.socket.terminate();
    await until(() => node.links.peers().length === 0);
    const second = await connect(node.links.address());
    second.socket.send(proof);
    await second.closed;
    expect(node.links.peers()).to.deep.equal([]);
  });

  it('do not trust a listener that has another key', async () => {
    const stranger = await start('entry-1', 'another-key');
    const node = await start('entry-2');
    node.addresses.set('entry-1', stranger.links.address());
    const answer = await node.links.query('entry-1', fate, 1_000);
    expect(answer.isErr() && answer.error.code).to.equal('peer-unreachable');
    expect(stranger.queries).to.deep.equal([]);
  });

  it('close on a frame that is none', async () => {
    const node = await start('entry-1');
    const client = await connect(node.links.address());
    client.socket.send(encodeFrame(createProofFrame(KEY, client.nonce)));
    await until(() => node.links.peers().length === 1);
    client.socket.send(Buffer.from([0xc1, 1, 2, 3]));
    await client.closed;
    expect(node.links.peers()).to.deep.equal([]);
  });

  it('close on a client that never proves itself', async () => {
    const node = await start('entry-1');
    const client = await connect(node.links.address());
    await time.advance(2_000);
    await client.closed;
  });

  it('dial a node on demand, ask it and close the link when it is idle', async () => {
    const holder = await start('entry-1');
    const node = await start('entry-2');
    node.addresses.set('entry-1', holder.links.address());
    const answer = await node.links.query('entry-1', fate, 1_000);
    expect(answer.isOk() && answer.value.kind).to.equal('done');
    await time.advance(20_000);
    node.links.notify('entry-1', cancel);
    await until(() => holder.notices.length === 1);
    await time.advance(20_000);
    expect(node.links.peers()).to.deep.equal(['entry-1']);
    await time.advance(30_000);
    expect(node.links.peers()).to.deep.equal([]);
  });

  it('keep a link that membership wants, though nothing passes on it', async () => {
    const peer = await start('entry-1');
    const node = await start('entry-2');
    node.addresses.set('entry-1', peer.links.address());
    node.kept.add('entry-1');
    peer.kept.add('entry-2');
    await node.links.query('entry-1', fate, 1_000);
    await time.advance(90_000);
    expect(node.links.peers()).to.deep.equal(['entry-1']);
  });

  it('say at once that nothing ran when a node cannot be dialled', async () => {
    const node = await start('entry-2');
    const gone = await start('entry-1');
    node.addresses.set('entry-1', gone.links.address());
    await gone.links.close();
    const answers = await Promise.all([
      node.links.query('entry-1', fate, 1_000),
      node.links.query('entry-1', fate, 1_000),
      node.links.query('entry-7', fate, 1_000),
    ]);
    for (const answer of answers) {
      expect(answer.isErr() && answer.error.outcome).to.equal('not-run');
    }
  });

  it('leave a query unsettled no longer than its time limit', async () => {
    const peer = await start('entry-1');
    const node = await start('entry-2');
    node.addresses.set('entry-1', peer.links.address());
    peer.control.answer = new Promise(() => undefined);
    const asked = node.links.query('entry-1', fate, 500);
    await until(() => peer.queries.length === 1);
    const answer = await time.runUntil(asked);
    expect(answer.isErr() && answer.error.outcome).to.equal('unknown');
  });

  it('settle what waits for an answer when the link closes', async () => {
    const peer = await start('entry-1');
    const node = await start('entry-2');
    node.addresses.set('entry-1', peer.links.address());
    peer.control.answer = new Promise(() => undefined);
    const asked = node.links.query('entry-1', fate, 60_000);
    await until(() => peer.queries.length === 1);
    peer.links.drop('entry-2');
    const answer = await asked;
    expect(answer.isErr() && answer.error.outcome).to.equal('unknown');
  });
});
