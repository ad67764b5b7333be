import { connect } from 'node:net';
import { expect } from 'chai';
import type { FailureBody } from '../../src/caller/index.js';
import { keyOf, MODEL, SERVICE, startCluster, type Cluster } from '../fixtures/cluster.js';

interface BadRequest {
  what: string;
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
  { what: 'malformed JSON', body: '{"model":', ...malformed, field: 'body' },
  { what: 'no object', body: '[]', ...malformed, field: 'body' },
  { what: 'a wrong type', body: { ...chat, model: 7 }, ...malformed, field: 'model' },
  {
    what: 'a wrong type deep down',
    body: { ...chat, messages: [{ role: 'user', content: [{ type: 'image' }] }] },
    ...malformed,
    field: 'messages.0.content',
  },
  { what: 'no messages', body: { ...chat, messages: [] }, ...malformed, field: 'messages' },
  { what: 'no tokens', body: { ...chat, max_tokens: 0 }, ...malformed, field: 'max_tokens' },
  { what: 'several answers', body: { ...chat, n: 2 }, ...malformed, field: 'n' },
  { what: 'tools', body: { ...chat, tools: [] }, ...malformed, field: 'tools' },
  { what: 'logprobs', body: { ...chat, logprobs: true }, ...malformed, field: 'logprobs' },
  { what: 'stop words', body: { ...chat, stop: ['.'] }, ...malformed, field: 'stop' },
  {
    what: 'a role of tools',
    body: { ...chat, messages: [{ role: 'tool', content: 'x' }] },
    ...malformed,
    field: 'messages.0.role',
  },
  {
    what: 'a JSON answer',
    body: { ...chat, response_format: { type: 'json_object' } },
    ...malformed,
    field: 'response_format.type',
  },
  {
    what: 'several prompts',
    path: '/v1/completions',
    body: { ...text, prompt: ['a', 'b'] },
    ...malformed,
    field: 'prompt',
  },
  { what: 'two adapters', body: { ...chat, model: 'a:b:c' }, ...malformed, field: 'model' },
  {
    what: 'an oversize body',
    body: { ...chat, messages: [{ role: 'user', content: 'x'.repeat(20_000) }] },
    status: 413,
    code: 'body-too-large',
    field: 'body',
  },
  {
    what: 'an oversize body for a service',
    path: service,
    body: 'x'.repeat(20_000),
    status: 413,
    code: 'body-too-large',
    field: 'body',
  },
  {
    what: 'headers that are too large',
    headers: { 'x-note': 'x'.repeat(20_000) },
    status: 431,
    code: 'headers-too-large',
    field: 'headers',
  },
  {
    what: 'an unknown model',
    body: { ...chat, model: 'nothing' },
    status: 404,
    code: 'unknown-model',
    field: 'model',
  },
  {
    what: 'an unknown class',
    headers: { 'x-reedtally-class': 'nothing' },
    status: 404,
    code: 'unknown-class',
    field: 'class',
  },
  {
    what: 'an unknown service',
    path: '/v1/services/nothing/pages/7',
    status: 404,
    code: 'unknown-service',
    field: 'service',
  },
  { what: 'an unknown path', path: '/v1/x', status: 404, code: 'unknown-object', field: 'path' },
  {
    what: 'a team without a binding',
    headers: { authorization: `Bearer ${keyOf('unbound')}` },
    status: 403,
    code: 'no-binding',
    field: 'model',
  },
  {
    what: 'a bad key',
    headers: { authorization: 'Bearer nothing' },
    status: 401,
    code: 'unauthenticated',
    field: 'Authorization',
  },
  {
    what: 'no key',
    headers: { authorization: '' },
    status: 401,
    code: 'unauthenticated',
    field: 'Authorization',
  },
  {
    what: 'an expired deadline',
    headers: { 'x-reedtally-deadline-ms': '-5' },
    status: 400,
    code: 'deadline-expired',
    field: 'x-reedtally-deadline-ms',
  },
  {
    what: 'a deadline that is no number',
    headers: { 'x-reedtally-deadline-ms': 'soon' },
    ...malformed,
    field: 'x-reedtally-deadline-ms',
  },
  {
    what: 'a call that may not be repeated, without a key',
    path: service,
    headers: once,
    status: 400,
    code: 'idempotency-key-missing',
    field: 'idempotency-key',
  },
  {
    what: 'an idempotency key that is too long',
    path: service,
    headers: { ...once, 'idempotency-key': 'k'.repeat(256) },
    ...malformed,
    field: 'idempotency-key',
  },
  {
    what: 'an idempotency key for a generation that may not be repeated',
    headers: { ...once, 'idempotency-key': 'k' },
    ...malformed,
    field: 'idempotency-key',
  },
];

describe('bad input of callers', () => {
  let cluster: Cluster;

  before(async () => {
    const requests = { maxBodyBytes: 10_000, readTimeoutMs: 300 };
    cluster = await startCluster({ nodes: 1, settings: { requests } });
  });

  after(() => cluster.stop());

  afterEach('nothing was done', () => {
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
    it(`refuses ${bad.what}`, async () => {
      const answer = await send(bad);
      const { error } = (await answer.json()) as FailureBody;
      expect(error).to.include({ code: bad.code, field: bad.field, outcome: 'not-run' });
      expect(error).to.include({ peer: 'n1', param: bad.field });
      expect(answer.status).to.equal(bad.status);
    });
  }

  it('refuses an oversize body that does not tell its length', async () => {
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

  it('outlives a caller that hangs up in the middle of its request', async () => {
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

  /** Sends raw bytes and reads until the node closes the connection. */
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
