// Guards against a promise that is not true: a server's 408, 429 or 503 tells callers that a request did not run, though
// it did; between a server and a gateway only the server's own statement says so.
import { expect } from 'chai';
import type { SeenAnswer } from '../../tools/soak/callers.js';
import { ask, promptHeads } from '../fixtures/gateway.js';
import { startRawFleet, type RawFleet } from '../fixtures/raw-fleet.js';
import { idOf, renderAnswer, type RawRequest } from '../fixtures/raw-server.js';

/** Statuses that tell a caller that its request did not run and never will. */
const PROMISES = [408, 421, 429, 503];

const signed = { 'X-Server-Signature': 's' };
const declined = { 'X-Not-Executed': '1' };

const good = { status: 200, headers: signed };

/** One event, so that it is a whole answer of either kind. */
const SAID = 'id: 1\ndata: what the server says\n\n';

/** Requests that succeed before each that is looked at. */
const GOOD_BEFORE = 6;

describe('a server that runs a request and answers with a status that promises the opposite', () => {
  let fleet: RawFleet;
  let runs: string[] = [];
  let answer: { status: number; headers: Record<string, string> };

  before(async () => {
    fleet = await startRawFleet();
    for (const [backend, more] of [
      ['pages', {}],
      ['chat', { stage: 'decode' }],
    ] as const) {
      for (const id of [`${backend}-1`, `${backend}-2`]) await fleet.add(id, backend, more, serve);
    }
  });

  after(() => fleet.close());

  function serve(request: RawRequest): void {
    if (idOf(request) === '') return;
    runs.push(idOf(request));
    const { status, headers } = idOf(request).startsWith('good') ? good : answer;
    const all = { 'X-Request-Id': idOf(request), ...headers };
    request.connection.write(renderAnswer(status, all, SAID));
  }

  /** Asks for one request after some that succeed, so that no server counts as failing. */
  async function askServersThatSay(
    status: number,
    headers: Record<string, string>,
    path = '/once/1',
  ): Promise<SeenAnswer> {
    answer = { status, headers };
    for (let count = 0; count < GOOD_BEFORE; count += 1) {
      await ask(fleet.port, { path, headers: promptHeads(`good-${count}`) });
    }
    runs = [];
    return ask(fleet.port, { path, headers: promptHeads('asked') });
  }

  it('does not make the caller repeat what may run once', async () => {
    const kept: string[] = [];
    for (const path of ['/once/1', '/single/1']) {
      for (const status of PROMISES) {
        for (const headers of [signed, {}]) {
          // without a signature, 421 says that another incarnation has the address
          if (status === 421 && headers !== signed) continue;
          const seen = await askServersThatSay(
            status,
            { ...headers, 'Retry-After': '0.001' },
            path,
          );
          expect(runs).to.deep.equal(['asked']);
          const isPromise = seen.status !== 502 || 'retry-after' in seen.headers;
          const isForeign = 'x-server-signature' in seen.headers;
          if (isPromise || isForeign) kept.push(`${path} ${status} ${JSON.stringify(headers)}`);
        }
      }
    }
    expect(kept).to.deep.equal([]);
  });

  it('is passed on with its signature where the request may be repeated', async () => {
    const seen = await askServersThatSay(503, signed, '/any/1');
    expect(seen).to.include({ status: 503, body: SAID });
    expect(runs).to.have.length(2);
    expect(seen.headers).to.include({ 'x-server-signature': 's' });
  });

  it('is asked of another server first where the request may be repeated', async () => {
    for (const status of PROMISES) {
      const seen = await askServersThatSay(status, signed, '/any/1');
      expect(seen).to.include({ status, body: SAID });
      expect(runs).to.have.length(2);
    }
  });

  it('is passed on with its signature where its status promises nothing', async () => {
    for (const status of [400, 404, 409, 500, 504]) {
      const seen = await askServersThatSay(status, signed);
      expect(seen).to.include({ status, body: SAID });
      expect(seen.headers).to.include({ 'x-server-signature': 's' });
    }
  });

  it('is believed where it says that the request did not run', async () => {
    for (const status of PROMISES) {
      const seen = await askServersThatSay(status, declined);
      expect(seen.status).to.equal(503);
      expect(seen.headers).to.have.property('retry-after');
    }
  });

  it('is believed where another incarnation has the address', async () => {
    const seen = await askServersThatSay(421, { 'X-Instance-Id': 'another' });
    expect(seen.status).to.equal(503);
  });
});
