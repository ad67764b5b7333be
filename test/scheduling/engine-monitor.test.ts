import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import { createEngineMonitor } from '../../src/scheduling/engine-monitor.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

describe('the watch on engines', () => {
  function setUp() {
    const fake = createFakeClock();
    return { ...fake, watch: createEngineMonitor(fake.clock, createSilentLog()) };
  }

  it('takes an engine that is heard for a busy one, however long a request waits there', async () => {
    const { watch, advance } = setUp();
    watch.expectFirstToken('job', 'e', 0);
    await advance(300);
    watch.recordResponse('e');
    await advance(300);
    for (let index = 0; index < 5; index += 1) {
      watch.recordOutcome('e', 'silent', 0);
    }
    expect(watch.isAvailable('e', 8)).to.equal(true);
  });

  it('leaves an engine alone that several requests found silent and that is not heard', () => {
    const { watch } = setUp();
    for (let index = 0; index < 3; index += 1) {
      watch.recordOutcome('e', 'silent', 0);
    }
    expect(watch.isAvailable('e', 0)).to.equal(false);
  });

  it('goes on with an engine at which a third of all requests fails', () => {
    const { watch } = setUp();
    for (let index = 0; index < 90; index += 1) {
      watch.recordOutcome('e', index % 3 === 0 ? 'failed' : 'good', 0);
    }
    expect(watch.isAvailable('e', 8)).to.equal(true);
  });
});
