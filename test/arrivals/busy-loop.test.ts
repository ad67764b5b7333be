import { once } from 'node:events';
import { connect } from 'node:net';
import { expect } from 'chai';
import { createHeaderProtocol } from '../../platform/headers.js';
import { createAdmission, createArrivals, ownLoop } from '../../src/arrivals/index.js';
import type { EventName } from '../../src/events/index.js';
import { createGatewayMetrics } from '../../src/metrics/index.js';
import { createFront } from '../../src/relay/index.js';
import { createSeededRandom, createSystemClock, wait } from '../../src/task/index.js';
import { startServerStandIn, startStoreStandIn } from '../../stand-ins/users-platform/index.js';
import { sendWhileBlocked } from '../fixtures/caller-thread.js';
import {
  admitAll,
  createAmpleIntake,
  ask,
  configuration,
  createKeptLog,
  findPort,
  register,
  startGatewayFixture,
  until,
  type KeptLog,
} from '../fixtures/gateway.js';

const CALLERS = 100;
/** A turn to accept connections and one to read them, and one that was already under way. */
const TURNS = 3;
/** Far above the time limit of the requests that wait for it. */
const BLOCKED_MS = 1_000;
const TIME_LIMIT_MS = 300;

function writeRequest(path: string, id: string, waitMs: number): string {
  const lines = [
    `GET ${path} HTTP/1.1`,
    'Host: desk.example',
    `X-Request-Id: ${id}`,
    `X-Request-Deadline-Ms: ${waitMs}`,
    'Connection: close',
  ];
  return [...lines, '', ''].join('\r\n');
}

function askWithLimit(port: number, id: string): ReturnType<typeof ask> {
  const headers = {
    host: 'desk.example',
    'X-Request-Id': id,
    'X-Request-Deadline-Ms': String(TIME_LIMIT_MS),
  };
  return ask(port, { path: `/once/${id}`, headers });
}

/** Blocks the event loop each time that an event is logged. */
function blockAt(log: KeptLog, blocking: EventName): void {
  const write = log.write.bind(log);
  log.write = (event, fields) => {
    write(event, fields);
    if (event === blocking)
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, BLOCKED_MS);
  };
}

describe('requests that arrive while the event loop is busy', () => {
  // without this, a hundred callers on new connections were read over a hundred turns
  it('are all read soon after the loop goes on, whatever the number of connections', async () => {
    const clock = createSystemClock();
    const log = createKeptLog();
    const metrics = createGatewayMetrics();
    let turns = 0;
    const readAfter: number[] = [];
    const front = createFront({
      log,
      protocol: createHeaderProtocol(),
      arrivals: createArrivals({ clock, log, metrics, ...ownLoop }),
      admission: admitAll,
      intake: createAmpleIntake(),
      limits: () => undefined,
      serve({ answer }) {
        readAfter.push(turns);
        answer.end({ reason: 'for the test', retryAfterMs: 100 });
        return Promise.resolve();
      },
    });
    const port = await findPort();
    await front.listen('127.0.0.1', port);
    const requests = Array.from({ length: CALLERS }, (_, index) =>
      writeRequest('/', `r${index}`, 2_000),
    );
    const { statusLines } = sendWhileBlocked(port, requests, 0);
    function countTurns(): void {
      turns += 1;
      if (readAfter.length < CALLERS) setImmediate(countTurns);
    }
    countTurns();
    expect(new Set(await statusLines)).to.deep.equal(new Set(['HTTP/1.1 503 Service Unavailable']));
    front.close();
    expect(readAfter).to.have.length(CALLERS);
    expect(Math.max(...readAfter)).to.be.at.most(TURNS);
  });

  // without this, all of them were parsed, scheduled and refused when their time was over
  it('are refused before any work is done for them, but for the first of each turn', async () => {
    const clock = createSystemClock();
    const log = createKeptLog();
    const metrics = createGatewayMetrics();
    let served = 0;
    const front = createFront({
      log,
      protocol: createHeaderProtocol(),
      arrivals: createArrivals({ clock, log, metrics, ...ownLoop }),
      admission: createAdmission({
        clock,
        random: createSeededRandom(1),
        log,
        metrics,
        objectiveMs: () => undefined,
      }),
      intake: createAmpleIntake(),
      limits: () => undefined,
      serve({ answer }) {
        served += 1;
        answer.run.sendStarted();
        answer.end({ reason: 'for the test', retryAfterMs: 100 });
        return Promise.resolve();
      },
    });
    const port = await findPort();
    await front.listen('127.0.0.1', port);
    const requests = Array.from({ length: CALLERS }, (_, index) =>
      writeRequest('/', `r${index}`, 2_000),
    );
    const answers = await sendWhileBlocked(port, requests, BLOCKED_MS).statusLines;
    front.close();
    const refused = answers.filter((line) => line === 'HTTP/1.1 503 Service Unavailable');
    expect(served).to.be.at.most(TURNS);
    expect(refused).to.have.length(CALLERS - served);
    const told = log.lines.filter(
      ({ event, fields }) => event === 'requestRefused' && fields.reason === 'overloaded',
    );
    expect(told).to.have.length(refused.length);
    expect(log.lines.some(({ event }) => event === 'overloadBegan')).to.equal(true);
  });

  // without this, a request on a connection that had been opened early passed for one that had waited as long
  it('count from when they were sent if their caller had connected long before', async () => {
    const log = createKeptLog();
    const clock = createSystemClock();
    const ages: number[] = [];
    const front = createFront({
      log,
      protocol: createHeaderProtocol(),
      arrivals: createArrivals({ clock, log, metrics: createGatewayMetrics(), ...ownLoop }),
      admission: admitAll,
      intake: createAmpleIntake(),
      limits: () => undefined,
      serve({ answer, arrivedAt }) {
        ages.push(clock.now() - arrivedAt);
        answer.end({ reason: 'for the test', retryAfterMs: 100 });
        return Promise.resolve();
      },
    });
    const port = await findPort();
    await front.listen('127.0.0.1', port);
    const socket = connect(port, '127.0.0.1');
    await wait(clock, BLOCKED_MS);
    socket.write(writeRequest('/', 'r1', TIME_LIMIT_MS));
    await once(socket, 'data');
    socket.destroy();
    front.close();
    expect(ages).to.have.length(1);
    expect(ages[0]).to.be.below(BLOCKED_MS / 2);
  });

  // without this, the timer of the limit had no turn before the send, and the server ran what nobody waited for
  it('are not sent if their time limit passes between their reading and their send', async () => {
    const store = await startStoreStandIn();
    const page = await startServerStandIn({ id: 'page-1' });
    store.put('op', 'config', configuration(1));
    register(store, page, 'pages');
    const fixture = await startGatewayFixture('node-1', store.address, [], {}, ownLoop);
    const { log, settings } = fixture;
    await until(() => log.lines.some(({ event }) => event === 'serverChanged'));
    await until(() => log.lines.some(({ event }) => event === 'routesApplied'));
    // leaves an open connection to the server, on which a send needs no further turn
    const before = await askWithLimit(settings.callers.port, 'r0');
    blockAt(log, 'requestSent');
    const late = await askWithLimit(settings.callers.port, 'r1');
    const arrived = page.received().map(({ path }) => path);
    await fixture.gateway.stop();
    await Promise.all([store.close(), page.close()]);
    expect([before.status, late.status]).to.deep.equal([200, 503]);
    expect(late.body).to.equal('not run: time limit\n');
    expect(arrived).to.deep.equal(['/once/r0']);
  });

  // without this, they ran at a server and were answered long after their time limit
  it('are refused and do not run if their time limit has passed', async () => {
    const store = await startStoreStandIn();
    const page = await startServerStandIn({ id: 'page-1' });
    store.put('op', 'config', configuration(1));
    register(store, page, 'pages');
    const fixture = await startGatewayFixture('node-1', store.address, [], {}, ownLoop);
    await until(() => fixture.log.lines.some(({ event }) => event === 'serverChanged'));
    await until(() => fixture.log.lines.some(({ event }) => event === 'routesApplied'));
    const { statusLines } = sendWhileBlocked(
      fixture.settings.callers.port,
      [writeRequest('/once/1', 'r1', TIME_LIMIT_MS)],
      BLOCKED_MS,
    );
    const answers = await statusLines;
    const arrived = page.received().length;
    await fixture.gateway.stop();
    await Promise.all([store.close(), page.close()]);
    expect(answers).to.deep.equal(['HTTP/1.1 503 Service Unavailable']);
    expect(arrived).to.equal(0);
  });
});
