import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import { createFleet, createFleetHealth } from '../../src/fleet/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import { change, removal } from '../fixtures/registry.js';

function setUp() {
  const fake = createFakeClock();
  const left: string[] = [];
  const fleet = createFleet(fake.clock, createSilentLog(), (id) => left.push(id));
  return { ...fake, fleet, left };
}

describe('the known fleet', () => {
  it('keeps the newest word on a server, whatever the order of arrival', () => {
    const { fleet } = setUp();
    fleet.learn(change('s', 5, { isLeaving: true }), 'peer');
    fleet.learn(change('s', 3), 'store');
    expect(fleet.available('pages')).to.deep.equal([]);
  });

  it('keeps a server that says itself that it leaves away when its entry lapses and returns', () => {
    const { fleet } = setUp();
    fleet.learn(change('s', 1), 'store');
    fleet.retire('s', 'the server says that it leaves');
    fleet.learn(removal('s', 2), 'store');
    fleet.learn(change('s', 3), 'store');
    expect(fleet.available('pages')).to.deep.equal([]);
  });

  it('keeps a server away of which peers said that it leaves before its entry came', () => {
    const { fleet } = setUp();
    fleet.retire('s', 'the server says that it leaves');
    fleet.learn(change('s', 1), 'store');
    expect(fleet.available('pages')).to.deep.equal([]);
    expect(fleet.isAvailable('s')).to.equal(false);
  });

  it('completes an entry that a peer of an earlier release relayed without the software version', () => {
    const { fleet } = setUp();
    fleet.learn(change('s', 5), 'peer');
    fleet.learn(change('s', 5, { version: 'v1' }), 'store');
    fleet.learn(change('s', 5), 'peer');
    expect(fleet.find('s')?.version).to.equal('v1');
  });

  it('knows which incarnation or version has taken a server’s place', () => {
    const { fleet } = setUp();
    fleet.learn(change('s', 1, { version: 'v1' }), 'store');
    const chosen = fleet.find('s');
    if (chosen === undefined) throw new Error('the server is registered');
    expect(fleet.successorOf(chosen)).to.equal(undefined);
    fleet.learn(removal('s', 2), 'store');
    expect(fleet.successorOf(chosen)).to.equal(undefined);
    fleet.learn(change('s', 3, { version: 'v2' }), 'store');
    expect(fleet.successorOf(chosen)?.version).to.equal('v2');
  });

  it('does not bring back a server whose removal is known', () => {
    const { fleet, left } = setUp();
    fleet.learn(change('s', 1), 'store');
    fleet.learn(removal('s', 4), 'peer');
    fleet.learn(change('s', 2), 'store');
    expect(fleet.available('pages')).to.deep.equal([]);
    expect(left).to.deep.equal(['s']);
  });

  it('tells peers of a removal that still waits for its entry’s return', () => {
    const { fleet } = setUp();
    fleet.learn(change('s', 1), 'store');
    fleet.storeLost();
    fleet.storeReturned();
    fleet.learn(removal('s', 2), 'store');
    expect(fleet.revision()).to.equal(2);
    expect(fleet.available('pages')).to.have.length(1);
    // a peer that is told of revision 2 does not ask for it again
    expect(fleet.changesAfter(1)).to.deep.equal([removal('s', 2)]);
  });

  it('gives lapsed entries time to return once the store is back', async () => {
    const { fleet, advance } = setUp();
    fleet.learn(change('alive', 1), 'store');
    fleet.learn(change('gone', 1), 'store');
    fleet.storeReturned();
    fleet.replace([], 10);
    expect(fleet.available('pages')).to.have.length(2);
    fleet.learn(change('alive', 12), 'store');
    await advance(2_500);
    expect(fleet.available('pages').map(({ id }) => id)).to.deep.equal(['alive']);
  });

  it('takes what a whole reading lacks for gone, unless it is newer', () => {
    const { fleet } = setUp();
    fleet.learn(change('old', 1), 'store');
    fleet.learn(change('new', 20), 'peer');
    fleet.replace([], 10);
    expect(fleet.available('pages').map(({ id }) => id)).to.deep.equal(['new']);
  });

  it('leaves out a server that says it is not the one asked for', () => {
    const { fleet } = setUp();
    fleet.learn(change('s', 1), 'store');
    fleet.retire('s', 'another incarnation');
    expect(fleet.available('pages')).to.deep.equal([]);
  });

  it('passes removals on to peers that missed them', () => {
    const { fleet } = setUp();
    fleet.learn(change('s', 1), 'store');
    fleet.learn(removal('s', 4), 'store');
    expect(fleet.changesAfter(2)).to.deep.equal([removal('s', 4)]);
  });
});

describe('the health of servers', () => {
  it('avoids a server that cannot be reached, and tries it again later', async () => {
    const { clock, advance } = createFakeClock();
    const health = createFleetHealth(clock, createSilentLog());
    health.record('s', 'unreachable');
    expect(health.isUsable('s')).to.equal(false);
    await advance(600);
    expect(health.isUsable('s')).to.equal(true);
  });

  it('bears single failures', () => {
    const { clock } = createFakeClock();
    const health = createFleetHealth(clock, createSilentLog());
    for (let index = 0; index < 20; index += 1) {
      health.record('s', index % 4 === 0 ? 'failed' : 'good');
    }
    expect(health.isUsable('s')).to.equal(true);
  });

  it('avoids a server that declines everything, but not one that is full at times', () => {
    const { clock } = createFakeClock();
    const health = createFleetHealth(clock, createSilentLog());
    for (const outcome of ['declined', 'good', 'declined', 'declined', 'good'] as const) {
      health.record('full', outcome);
    }
    for (let index = 0; index < 3; index += 1) {
      health.record('leaving', 'declined');
    }
    expect(health.isUsable('full')).to.equal(true);
    expect(health.isUsable('leaving')).to.equal(false);
  });

  it('avoids a server that fails most requests', () => {
    const { clock } = createFakeClock();
    const health = createFleetHealth(clock, createSilentLog());
    for (let index = 0; index < 8; index += 1) {
      health.record('s', 'failed');
    }
    expect(health.isUsable('s')).to.equal(false);
  });

  it('avoids a server that answers everything with errors, but not one with ordinary errors', () => {
    const { clock } = createFakeClock();
    const health = createFleetHealth(clock, createSilentLog());
    for (let index = 0; index < 60; index += 1) {
      health.record('ordinary', index % 6 < 2 ? 'error' : 'good');
    }
    for (let index = 0; index < 10; index += 1) {
      health.record('broken', 'error');
    }
    expect(health.isUsable('ordinary')).to.equal(true);
    expect(health.isUsable('broken')).to.equal(false);
  });

  it('has a server on trial from its avoidance until it works again', async () => {
    const { clock, advance } = createFakeClock();
    const health = createFleetHealth(clock, createSilentLog());
    expect(health.isOnTrial('s')).to.equal(false);
    health.record('s', 'unreachable');
    await advance(600);
    expect(health.isOnTrial('s')).to.equal(true);
    health.record('s', 'good');
    expect(health.isOnTrial('s')).to.equal(false);
  });
});
