import { connect } from 'node:net';
import { expect } from 'chai';
import type { FailureBody } from '../../src/caller/index.js';
import { keyOf, MODEL, SERVICE, startCluster, type Cluster } from '../fixtures/cluster.js';

interface BadRequest {
  title: string;
  path?: string;
  method?: string;
  headers?: Record<string, string>;
  body?: unknown;
  status: number;
  code: string;
  field: string;
}

const chat = { model: MODEL, messages: [{ role: 'user', content: 'Is it 1-3-4-2?' }] };
const text = { model: MODEL, prompt: 'Is it 1-3-4-2?' };
const malformed = { status: 400, code: 'malformed-request' };
const service = `/v1/services/${SERVICE}/pages/7`;
const once = { 'x-reedtally-class': 'once' };

const badRequests: BadRequest[] = [
  { title: 'malformed JSON', body: '{"model":', ...malformed, field: 'body' },
  { title: 'a body that is not an object', body: '[]', ...malformed, field: 'body' },
  { title: 'a wrong type', body: { ...chat, model: 7 }, ...malformed, field: 'model' },
  {
    title: 'a wrong type in a nested field',
    body: { ...chat, messages: [{ role: 'user', content: [{ type: 'image' }] }] },
    ...malformed,
    field: 'messages.0.content',
  },
  { title: 'no messages', body: { ...chat, messages: [] }, ...malformed, field: 'messages' },
  { title: 'no tokens', body: { ...chat, max_tokens: 0 }, ...malformed, field: 'max_tokens' },
  { title: 'several choices', body: { ...chat, n: 2 }, ...malformed, field: 'n' },
  { title: 'tools', body: { ...chat, tools: [] }, ...malformed, field: 'tools' },
  { title: 'logprobs', body: { ...chat, logprobs: true }, ...malformed, field: 'logprobs' },
  { title: 'stop sequences', body: { ...chat, stop: ['.'] }, ...malformed, field: 'stop' },
  {
    title: 'a tool role',
    body: { ...chat, messages: [{ role: 'tool', content: 'x' }] },
    ...malformed,
    field: 'messages.0.role',
  },
  {
    title: 'a JSON response format',
    body: { ...chat, response_format: { type: 'json_object' } },
    ...malformed,
    field: 'response_format.type',
  },
  {
    title: 'several prompts',
    path: '/v1/completions',
    body: { ...text, prompt: ['a', 'b'] },
    ...malformed,
    field: 'prompt',
  },
  { title: 'two adapters', body: { ...chat, model: 'a:b:c' }, ...malformed, field: 'model' },
  {
    title: 'an oversize body',
    body: { ...chat, messages: [{ role: 'user', content: 'x'.repeat(20_000) }] },
    status: 413,
    code: 'body-too-large',
    field: 'body',
  },
  {
    title: 'an oversize body for a service',
    path: service,
    body: 'x'.repeat(20_000),
    status: 413,
    code: 'body-too-large',
    field: 'body',
  },
  {
    title: 'headers that are too large',
    headers: { 'x-note': 'x'.repeat(20_000) },
    status: 431,
    code: 'headers-too-large',
    field: 'headers',
  },
  {
    title: 'an unknown model',
    body: { ...chat, model: 'nothing' },
    status: 404,
    code: 'unknown-model',
    field: 'model',
  },
  {
    title: 'an unknown class',
    headers: { 'x-reedtally-class': 'nothing' },
    status: 404,
    code: 'unknown-class',
    field: 'class',
  },
  {
    title: 'an unknown service',
    path: '/v1/services/nothing/pages/7',
    status: 404,
    code: 'unknown-service',
    field: 'service',
  },
  { title: 'an unknown path', path: '/v1/x', status: 404, code: 'unknown-object', field: 'path' },
  {
    title: 'a team without a binding',
    headers: { authorization: `Bearer ${keyOf('unbound')}` },
    status: 403,
    code: 'no-binding',
    field: 'model',
  },
  {
    title: 'a bad key',
    headers: { authorization: 'Bearer nothing' },
    status: 401,
    code: 'unauthenticated',
    field: 'Authorization',
  },
  {
    title: 'no key',
    headers: { authorization: '' },
    status: 401,
    code: 'unauthenticated',
    field: 'Authorization',
  },
  {
    title: 'an expired deadline',
    headers: { 'x-reedtally-deadline-ms': '-5' },
    status: 400,
    code: 'deadline-expired',
    field: 'x-reedtally-deadline-ms',
  },
  {
    title: 'a deadline that is not a number',
    headers: { 'x-reedtally-deadline-ms': 'soon' },
    ...malformed,
    field: 'x-reedtally-deadline-ms',
  },
  {
    title: 'a call that may not be repeated, without a key',
    path: service,
    headers: once,
    status: 400,
    code: 'idempotency-key-missing',
    field: 'idempotency-key',
  },
  {
    title: 'an idempotency key that is too long',
    path: service,
    headers: { ...once, 'idempotency-key': 'k'.repeat(256) },
    ...malformed,
    field: 'idempotency-key',
  },
  {
    title: 'an idempotency key for a generation that may not be repeated',
    headers: { ...once, 'idempotency-key': 'k' },
    ...malformed,
    field: 'idempotency-key',
  },
];

describe('invalid requests of callers', () => {
  let cluster: Cluster;

  before(async () => {
    const requests = { maxBodyBytes: 10_000, readTimeoutMs: 300 };
    cluster = await startCluster({ nodes: 1, settings: { requests } });
  });

  after(() => cluster.stop());

  afterEach('no server received a request and no key was claimed', () => {
    expect(cluster.received()).to.equal(0);
    expect(countClaims(cluster)).to.equal(0);
  });

  async function send({ path, method, headers, body }: BadRequest): Promise<Response> {
    return fetch(`${cluster.nodes[0]?.origin ?? ''}${path ?? '/v1/chat/completions'}`, {
      method: method ?? 'POST',
      headers: { authorization: `Bearer ${keyOf('kumasi')}`, ...headers },
      body: typeof body === 'string' ? body : JSON.stringify(body ?? chat),
    });
  }

  for (const bad of badRequests) {
    it(`refuses ${bad.title}`, async () => {
      const answer = await send(bad);
      const { error } = (await answer.json()) as FailureBody;
      expect(error).to.include({ code: bad.code, field: bad.field, outcome: 'not-run' });
      expect(error).to.include({ peer: 'n1', param: bad.field });
      expect(answer.status).to.equal(bad.status);
    });
  }

  it('refuses an oversize chunked body without a content length', async () => {
    const answer = await exchange([
      'POST /v1/chat/completions HTTP/1.1\r\nHost: n1\r\nTransfer-Encoding: chunked\r\n',
      `Authorization: Bearer ${keyOf('kumasi')}\r\n\r\n`,
      `4e20\r\n${'x'.repeat(20_000)}\r\n0\r\n\r\n`,
    ]);
    expect(answer)
      .to.match(/^HTTP\/1.1 413/)
      .and.to.contain('"code":"body-too-large"');
  });

  it('refuses a request whose headers never end', async () => {
    const answer = await exchange(['POST /v1/chat/completions HTTP/1.1\r\nHost: n1\r\n']);
    expect(answer)
      .to.match(/^HTTP\/1.1 408/)
      .and.to.contain('"code":"request-timeout"');
    expect(answer).to.contain('"outcome":"not-run"');
  });

  it('refuses a request whose body never ends', async () => {
    const answer = await exchange([
      'POST /v1/chat/completions HTTP/1.1\r\nHost: n1\r\nContent-Length: 500\r\n',
      `Authorization: Bearer ${keyOf('kumasi')}\r\n\r\n{"model":`,
    ]);
    expect(answer)
      .to.match(/^HTTP\/1.1 408/)
      .and.to.contain('"code":"request-timeout"');
  });

  it('refuses bytes that are not HTTP', async () => {
    const answer = await exchange(['\u0000\u0001 nothing\r\n\r\n']);
    expect(answer)
      .to.match(/^HTTP\/1.1 400/)
      .and.to.contain('"code":"malformed-request"');
  });

  it('keeps no request in flight when a caller disconnects in the middle of its body', async () => {
    const [host = '', port = ''] = (cluster.nodes[0]?.addresses.caller ?? '').split(':');
    const socket = connect(Number(port), host);
    const closed = new Promise((resolve) => socket.once('close', resolve));
    const head = `POST ${service} HTTP/1.1\r\nHost: n1\r\nContent-Length: 500\r\n`;
    socket.write(`${head}Authorization: Bearer ${keyOf('kumasi')}\r\n\r\nhalf`, () => {
      socket.destroy();
    });
    await closed;
    const status = await cluster.nodes[0]?.status();
    expect(status?.node.inFlight).to.equal(0);
  });

  /** Sends raw bytes and returns what the node answers. */
  function exchange(parts: readonly string[]): Promise<string> {
    const [host = '', port = ''] = (cluster.nodes[0]?.addresses.caller ?? '').split(':');
    return new Promise((resolve, reject) => {
      const socket = connect(Number(port), host, () => {
        socket.write(parts.join(''));
      });
      let received = '';
      socket.setEncoding('utf8');
      socket.on('data', (piece: string) => {
        received += piece;
        if (received.includes('"message"')) socket.end();
      });
      socket.on('close', () => {
        resolve(received);
      });
      socket.on('error', reject);
    });
  }
});

function countClaims(cluster: Cluster): number {
  let claims = 0;
  for (const entry of cluster.table.entries()) {
    if (entry.event !== 'transaction') continue;
    for (const { key } of entry.transaction.puts) {
      if (key.startsWith('claims/')) claims += 1;
    }
  }
  return claims;
}
