// Guards against a status of an engine that is believed to say that a request did not run, where only its own statement
// does; and against failing servers that pass for full ones.
import { expect } from 'chai';
import { ask, configuration, heads, promptHeads, until } from '../fixtures/gateway.js';
import { startRawFleet, type RawFleet } from '../fixtures/raw-fleet.js';
import { idOf, renderAnswer, type RawRequest } from '../fixtures/raw-server.js';

const signed = { 'X-Server-Signature': 's' };
const declined = { 'X-Not-Executed': '1' };
const EVENT = 'id: 1\ndata: x\n\n';

function reply(
  request: RawRequest,
  status: number,
  headers: Record<string, string>,
  body = EVENT,
): void {
  if (request.connection.destroyed) return;
  const all = { 'X-Request-Id': idOf(request), ...headers };
  request.connection.write(renderAnswer(status, all, body));
}

describe('an engine that cannot have the memory of a prompt that another has read', () => {
  let fleet: RawFleet;
  /** What a generating engine answers to a prompt that was read elsewhere. */
  let headers: Record<string, string> = {};
  let asked: string[] = [];

  before(async () => {
    fleet = await startRawFleet();
    fleet.store.put('op', 'config', configuration(2, [double]));
    await until(() => fleet.gateway.log.lines.some(({ fields }) => fields.version === 2));
    await fleet.add('reader', 'chat', { stage: 'prefill' }, (request) => {
      if (request.method === 'DELETE') reply(request, 200, {}, '');
      if (request.headers.get('x-stage') !== 'prefill') return;
      reply(request, 200, {}, JSON.stringify({ kvHandle: 'h', tokens: 1, version: 1 }));
    });
    for (const id of ['writer-1', 'writer-2']) {
      await fleet.add(id, 'chat', { stage: 'decode' }, (request) => {
        if (request.headers.get('x-kv-source') === undefined) return;
        asked.push(idOf(request));
        reply(request, 503, headers);
      });
    }
  });

  after(() => fleet.close());

  async function askFor(path: string, stated: Record<string, string>) {
    headers = stated;
    asked = [];
    return ask(fleet.port, { path, headers: promptHeads(`${path}-${Object.keys(stated).length}`) });
  }

  for (const path of ['/single/1', '/double/1']) {
    it(`promises nothing and is not followed by another, on ${path}, unless it says so`, async () => {
      const seen = await askFor(path, {});
      expect(seen.status).to.equal(502);
      expect(asked).to.have.length(1);
    });

    it(`is believed on ${path} where it says so`, async () => {
      const seen = await askFor(path, declined);
      expect(seen.status).to.equal(503);
      expect(seen.headers).to.have.property('retry-after');
      expect(asked).to.have.length(path === '/double/1' ? 2 : 1);
    });
  }

  it('is followed by another where the stream may be resumed', async () => {
    const seen = await askFor('/resumable/1', {});
    expect(seen.status).to.be.oneOf([502, 503]);
    expect(asked).to.have.length(2);
  });
});

describe('a server that answers 503 to everything', () => {
  let fleet: RawFleet;

  beforeEach(async () => {
    fleet = await startRawFleet();
    await fleet.add('sound', 'pages', {}, (request) => {
      reply(request, 200, signed, 'page');
    });
  });

  afterEach(() => fleet.close());

  /** Asks until a server is avoided; gives the causes. */
  async function findCauses(stated: Record<string, string>): Promise<unknown[]> {
    await fleet.add('other', 'pages', {}, (request) => {
      reply(request, 503, stated, '');
    });
    const { lines } = fleet.gateway.log;
    for (let count = 0; count < 60; count += 1) {
      await ask(fleet.port, { path: '/any/1', headers: heads(`r${count}`) });
      if (lines.some(({ event }) => event === 'serverAvoided')) break;
    }
    const avoided = lines.filter(({ event }) => event === 'serverAvoided');
    return avoided.map(({ fields }) => [fields.server, fields.cause]);
  }

  it('is avoided as failing', async () => {
    expect(await findCauses(signed)).to.deep.equal([['other', 'error']]);
    const before = countOthers();
    for (let count = 0; count < 5; count += 1) {
      const seen = await ask(fleet.port, { path: '/once/1', headers: heads(`after-${count}`) });
      expect(seen.status).to.equal(200);
    }
    expect(countOthers()).to.equal(before);
  });

  it('is not avoided as failing where it says that it ran nothing', async () => {
    expect(await findCauses(declined)).to.deep.equal([['other', 'declined']]);
  });

  function countOthers(): number {
    return fleet.servers[1]?.received().length ?? 0;
  }
});

const double = {
  hostname: 'desk.example',
  timeoutMs: 1_500,
  targetLatencyMs: 400,
  name: 'double',
  pathPrefix: '/double/',
  kind: 'streaming',
  sessionAffinity: true,
  resumable: false,
  backend: 'chat',
  priority: 2,
  maxAttempts: 2,
};
