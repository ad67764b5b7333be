import { expect } from 'chai';
import { createPeering, type PeeringParts } from '../../src/gateway/peering.js';
import { createGatewayMetrics } from '../../src/metrics/index.js';
import { createArrivals, ownLoop } from '../../src/arrivals/index.js';
import { createFront } from '../../src/relay/index.js';
import type { Scheduler } from '../../src/scheduling/index.js';
import { createSystemClock } from '../../src/task/index.js';
import { createHeaderProtocol } from '../../platform/headers.js';
import { admitAll, ask, createKeptLog, findPort, heads } from '../fixtures/gateway.js';

describe('an exception', () => {
  it('while handling a peer’s message is logged and does not affect later messages', () => {
    const log = createKeptLog();
    const submitted: string[] = [];
    const scheduler = {
      adopt: () => {
        throw new Error('no such engine');
      },
      submit: (job: { id: string }) => submitted.push(job.id),
    } as unknown as Scheduler;
    const peering = createPeering({
      clock: createSystemClock(),
      log,
      overlay: () => ({ send: () => true, broadcast: () => undefined }),
      scheduler: () => scheduler,
    } as unknown as PeeringParts);
    const peer = 'peer';
    const job = {
      id: 'peer/1',
      service: 'chat',
      requestId: 'r1',
      prompt: { model: 'm', parts: [], tokens: 10, maxOutputTokens: 1 },
      rank: 0,
      pauseMs: 100,
      elapsedMs: 0,
      aimLeftMs: 100,
      timeLeftMs: 1_000,
      isReturn: false,
      isRead: false,
      zone: 'a',
      excluded: [],
      paused: [],
      avoided: [],
    };
    peering.received(peer, { kind: 'job.adopt', job, placement: { generator: 'g1' } });
    peering.received(peer, { kind: 'job.submit', job: { ...job, id: 'peer/2' } });
    const failed = log.lines.filter(({ event }) => event === 'decisionFailed');
    expect(failed.map(({ fields }) => fields.step)).to.deep.equal(['job.adopt']);
    expect(submitted).to.deep.equal(['peer/2']);
  });

  it('while serving a request closes its connection and does not affect the next', async () => {
    const log = createKeptLog();
    const front = createFront({
      log,
      protocol: createHeaderProtocol(),
      arrivals: createArrivals({
        clock: createSystemClock(),
        log,
        metrics: createGatewayMetrics(),
        ...ownLoop,
      }),
      admission: admitAll,
      limits: () => undefined,
      serve({ head, answer }) {
        if (head.requestId === 'bad') return Promise.reject(new Error('no such engine'));
        answer.end({ reason: 'for the test', retryAfterMs: 100 });
        return Promise.resolve();
      },
    });
    const port = await findPort();
    await front.listen('127.0.0.1', port);
    const lost = await ask(port, { path: '/', headers: heads('bad') }).then(
      () => 'answered',
      () => 'closed',
    );
    const next = await ask(port, { path: '/', headers: heads('good') });
    front.close();
    expect(lost).to.equal('closed');
    expect(next.status).to.equal(503);
    expect(log.lines.map(({ event }) => event)).to.deep.equal(['decisionFailed']);
  });
});
