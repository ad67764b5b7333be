import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import { createEngineMonitor } from '../../src/scheduling/engine-monitor.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

describe('engine monitor', () => {
  function setUp() {
    const fake = createFakeClock();
    return { ...fake, monitor: createEngineMonitor(fake.clock, createSilentLog()) };
  }

  it('treats an unanswered request as busy while the engine responds to others', async () => {
    const { monitor, advance } = setUp();
    monitor.expectFirstToken('job', 'e', 0);
    await advance(300);
    monitor.recordResponse('e');
    await advance(300);
    for (let index = 0; index < 5; index += 1) {
      monitor.recordOutcome('e', 'silent', 0);
    }
    expect(monitor.isAvailable('e', 8)).to.equal(true);
  });

  it('avoids an engine that does not respond to several requests', () => {
    const { monitor } = setUp();
    for (let index = 0; index < 3; index += 1) {
      monitor.recordOutcome('e', 'silent', 0);
    }
    expect(monitor.isAvailable('e', 0)).to.equal(false);
  });

  it('keeps using an engine that fails a third of its requests', () => {
    const { monitor } = setUp();
    for (let index = 0; index < 90; index += 1) {
      monitor.recordOutcome('e', index % 3 === 0 ? 'failed' : 'good', 0);
    }
    expect(monitor.isAvailable('e', 8)).to.equal(true);
  });
});
