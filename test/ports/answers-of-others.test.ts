/**
 * Late second answers of servers, which stand on the connection when the next request comes: no answer is taken for
 * that of another request, and none that says that a request has not run while the server runs it.
 */
import type { Socket } from 'node:net';
import { expect } from 'chai';
import {
  createHttpModelEngine,
  createHttpPlainService,
  createHttpTableService,
} from '../../src/ports/http/index.js';
import type { EngineRequest, ModelEngine, Order, PlainService } from '../../src/ports/index.js';
import {
  idOf,
  renderAnswer,
  startRawServer,
  type RawRequest,
  type RawServer,
} from '../fixtures/raw-server.js';

const JSON_TYPE = { 'Content-Type': 'application/json' };
/** Requests in a row; an HTTP client that keeps connections uses one again for the third at the latest. */
const INDICES = [0, 1, 2, 3];
const DECLINES = 3;
const EVENTS = { 'Content-Type': 'text/event-stream' };

describe('a late second answer', () => {
  let server: RawServer;

  afterEach(() => server.close());

  /** Starts a server whose connections bear another answer to the request before, when the next one comes. */
  async function start(
    due: (request: RawRequest, index: number) => string,
    late: (before: RawRequest) => string,
  ): Promise<void> {
    const last = new Map<Socket, RawRequest>();
    let index = 0;
    server = await startRawServer((request) => {
      const before = last.get(request.connection);
      last.set(request.connection, request);
      if (before !== undefined) request.connection.write(late(before));
      request.connection.write(due(request, index));
      index += 1;
    });
  }

  function connectEngine(): ModelEngine {
    return createHttpModelEngine({ id: 'engine', address: server.address });
  }

  async function generate(engine: ModelEngine, requestId: string): Promise<string> {
    const request: EngineRequest = {
      ...{ requestId, model: 'model', prompt: 'torque?', maxTokens: 1, stream: true },
      ...{ priority: 0, resumeFrom: 0, prefillOnly: false },
    };
    for await (const item of engine.generate(request, new AbortController().signal)) {
      return item.isOk() ? item.value.text : `${item.error.code}, ${item.error.outcome}`;
    }
    return 'nothing';
  }

  function renderStream(index: number): string {
    const chunk = { requestId: `r${index}`, index: 0, text: `t${index}`, finishReason: 'stop' };
    return renderAnswer(200, EVENTS, `data: ${JSON.stringify(chunk)}\n\ndata: [DONE]\n\n`);
  }

  it('of an engine that declines is not taken for the answer of the next generation', async () => {
    await start(
      (_request, index) => renderStream(index),
      () => renderAnswer(503, JSON_TYPE, '{"reason":"full"}'),
    );
    const engine = connectEngine();
    for (const index of INDICES) {
      expect(await generate(engine, `r${index}`)).to.equal(`t${index}`);
    }
    expect(server.received()).to.have.length(INDICES.length);
  });

  it('of an engine does not give the KV cache of another prompt', async () => {
    const render = (index: number) =>
      renderAnswer(200, JSON_TYPE, JSON.stringify({ handle: `of-r${index}`, tokens: 1 }));
    await start(
      (_request, index) => render(index),
      () => render(0),
    );
    const engine = connectEngine();
    for (const index of INDICES) {
      expect((await engine.exportKv(`r${index}`)).unwrap().handle).to.equal(`of-r${index}`);
    }
  });

  it('of an engine does not refuse the next order', async () => {
    await start(
      (_request, index) =>
        renderAnswer(200, JSON_TYPE, JSON.stringify({ orderId: `o${index}`, accepted: true })),
      () => renderAnswer(409, JSON_TYPE, '{}'),
    );
    const engine = connectEngine();
    const wanted: Order['wanted'] = { role: 'mixed', models: ['model'], adapters: [] };
    for (const orderId of INDICES.map((index) => `o${index}`)) {
      expect(await engine.order({ orderId, fence: 1, node: 'n1', wanted })).to.deep.equal({
        kind: 'accepted',
      });
    }
  });

  function call(service: PlainService, requestId: string) {
    const signal = new AbortController().signal;
    return service.call({ requestId, method: 'POST', path: '/pages' }, signal);
  }

  function renderDecline(request: RawRequest): string {
    return renderAnswer(503, { 'X-Request-Id': idOf(request), 'X-Not-Started': 'true' });
  }

  it('of a worker that declined a call is not taken for its answer when it is asked again', async () => {
    await start(
      (request, index) =>
        index < DECLINES
          ? renderDecline(request)
          : renderAnswer(200, { 'X-Request-Id': idOf(request) }),
      renderDecline,
    );
    const service = createHttpPlainService({ id: 'worker', address: server.address });
    for (let declines = 0; declines < DECLINES; declines += 1) {
      expect((await call(service, 'r0')).unwrapErr().outcome).to.equal('not-run');
    }
    expect((await call(service, 'r0')).unwrap().status).to.equal(200);
  });

  it('of a worker to another call does not lose the answer of the next', async () => {
    const render = (request: RawRequest) =>
      renderAnswer(200, { 'X-Request-Id': idOf(request) }, idOf(request));
    await start(render, render);
    const service = createHttpPlainService({ id: 'worker', address: server.address });
    for (const id of INDICES.map((index) => `r${index}`)) {
      const answer = (await call(service, id)).unwrap();
      expect(Buffer.from(answer.body).toString()).to.equal(id);
    }
  });

  it('of the table service does not pass for the answer to the next write', async () => {
    const committed = (revision: number) =>
      renderAnswer(200, JSON_TYPE, `{"revision":${revision}}`);
    await start(
      (_request, index) => committed(index + 1),
      () => committed(99),
    );
    const table = createHttpTableService({ baseUrl: `http://${server.address}`, timeoutMs: 1_000 });
    for (const index of INDICES) {
      const put = { key: `claims/${index}`, value: 'claimed' };
      const conditions = [{ key: put.key, revision: 0 }];
      const outcome = await table.transact({ conditions, puts: [put], deletes: [] });
      expect(outcome).to.deep.equal({ kind: 'committed', revision: index + 1 });
    }
  });

  it('of the table service does not pass for the next row', async () => {
    const render = (index: number) =>
      renderAnswer(
        200,
        JSON_TYPE,
        JSON.stringify({ key: `claims/${index}`, revision: 1, value: {} }),
      );
    await start(
      (_request, index) => render(index),
      () => render(0),
    );
    const table = createHttpTableService({ baseUrl: `http://${server.address}`, timeoutMs: 1_000 });
    for (const index of INDICES) {
      const key = `claims/${index}`;
      expect((await table.get(key)).unwrap()).to.have.property('key', key);
    }
  });
});
