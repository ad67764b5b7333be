// Guards against an engine that does not answer a release: its connection was held, and read, without an end.
import { expect } from 'chai';
import { createConnections } from '../../src/relay/connections.js';
import { releasePrompt, type ReleaseParts } from '../../src/relay/release-prompt.js';
import type { RegisteredServer } from '../../src/fleet/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import { createKeptLog, until } from '../fixtures/gateway.js';
import { startRawServer } from '../fixtures/raw-server.js';

describe('a release of a prompt', () => {
  it('that is not answered is given up', async () => {
    const engine = await startRawServer(() => undefined);
    const { clock, advance } = createFakeClock();
    const log = createKeptLog();
    const connections = createConnections(() => 4, clock);
    const parts: Partial<ReleaseParts> = {
      clock,
      log,
      connections,
      requestId: 'r1',
      protocol: {
        releaseCall: () => ({ method: 'DELETE', path: '/handle' }),
      } as unknown as ReleaseParts['protocol'],
      backpressure: {
        limits: { take: () => undefined },
      } as unknown as ReleaseParts['backpressure'],
      gate: { isPaused: () => false } as unknown as ReleaseParts['gate'],
    };
    const server = { id: 'engine', address: engine.address } as RegisteredServer;
    releasePrompt(parts as ReleaseParts, { address: engine.address, handle: 'handle' }, server);
    await until(() => engine.received().length > 0);
    await advance(2_000);
    await until(() => engine.received()[0]?.connection.destroyed === true);
    expect(log.lines).to.deep.equal([
      {
        event: 'releaseFailed',
        fields: { request: 'r1', server: 'engine', reason: 'no answer within 2000 ms' },
      },
    ]);
    connections.close();
    await engine.close();
  });
});
