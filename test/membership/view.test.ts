import { expect } from 'chai';
import type { Heartbeat, NodeState, ShardSummary } from '../../src/links/index.js';
import { createShardRecords, createView } from '../../src/membership/index.js';

function createState(more: Partial<NodeState> = {}): NodeState {
  return {
    node: 'entry-1',
    incarnation: 'first',
    zone: 'hann',
    caller: '10.0.0.1:1',
    operator: '10.0.0.1:2',
    peer: '10.0.0.1:3',
    leaving: false,
    sequence: 5,
    configurationVersion: 0,
    inFlight: 0,
    ...more,
  };
}

function createBeat(more: Partial<Heartbeat> = {}): Heartbeat {
  return {
    kind: 'heartbeat',
    incarnation: 'first',
    sequence: 6,
    configurationVersion: 0,
    inFlight: 0,
    chosen: true,
    isStranger: false,
    shards: [],
    ...more,
  };
}

describe('the view of other nodes', () => {
  it('takes a newer state and no older one', () => {
    const view = createView();
    expect(view.learn(createState())).to.equal(true);
    expect(view.learn(createState({ sequence: 4, leaving: true }))).to.equal(false);
    expect(view.learn(createState({ sequence: 6, leaving: true }))).to.equal(true);
    expect(view.alive()).to.deep.equal([]);
  });

  it('never takes an old incarnation back, whatever its sequence', () => {
    const view = createView();
    view.learn(createState());
    view.learn(createState({ incarnation: 'second', sequence: 0 }));
    expect(view.learn(createState({ sequence: 99 }))).to.equal(false);
    expect(view.beat('entry-1', createBeat({ sequence: 99 }))).to.equal(false);
    view.suspect({ node: 'entry-1', incarnation: 'first', sequence: 99 }, 0);
    expect(view.find('entry-1')?.state).to.include({ incarnation: 'second', sequence: 0 });
    expect(view.isAlive('entry-1')).to.equal(true);
  });

  it('believes a suspicion until a newer word of the node itself', () => {
    const view = createView();
    view.learn(createState());
    expect(view.suspect({ node: 'entry-1', incarnation: 'first', sequence: 4 }, 0)).to.equal(false);
    expect(view.suspect({ node: 'entry-1', incarnation: 'first', sequence: 7 }, 0)).to.equal(true);
    expect(view.alive()).to.deep.equal([]);
    expect(view.learn(createState({ sequence: 7 }))).to.equal(false);
    expect(view.beat('entry-1', createBeat({ sequence: 8 }))).to.equal(true);
    expect(view.alive()).to.have.length(1);
  });

  it('lets the configuration of an incarnation only move forward', () => {
    const view = createView();
    view.learn(createState({ configurationVersion: 4 }));
    expect(view.reach('entry-1', 3)).to.equal(false);
    expect(view.reach('entry-1', 6)).to.equal(true);
    view.learn(createState({ sequence: 6, configurationVersion: 5 }));
    expect(view.find('entry-1')?.state.configurationVersion).to.equal(6);
  });

  it('forgets a node that was suspected for long', () => {
    const view = createView();
    view.learn(createState());
    view.suspect({ node: 'entry-1', incarnation: 'first', sequence: 5 }, 0);
    view.forget(1_000, 1_000);
    expect(view.find('entry-1')).to.not.equal(undefined);
    view.forget(1_001, 1_000);
    expect(view.find('entry-1')).to.equal(undefined);
  });
});

describe('records of who holds a shard', () => {
  const summary: ShardSummary = {
    shard: 'manuals',
    holder: 'entry-1',
    fence: 2,
    sequence: 5,
    waiting: 0,
    servers: [],
  };

  it('never go backwards in fence or sequence', () => {
    const records = createShardRecords();
    expect(records.learn(summary)).to.equal('changed');
    expect(records.learn({ ...summary, sequence: 6 })).to.equal('newer');
    expect(records.learn(summary)).to.equal('old');
    expect(records.learn({ ...summary, fence: 1, sequence: 99 })).to.equal('old');
    expect(records.learn({ ...summary, fence: 3, sequence: 0 })).to.equal('changed');
    expect(records.find('manuals')).to.include({ fence: 3, sequence: 0 });
  });

  it('keep to it that a shard was given up under a fence', () => {
    const records = createShardRecords();
    records.learn(summary);
    expect(records.learn({ ...summary, released: true })).to.equal('changed');
    expect(records.learn({ ...summary, sequence: 9 })).to.equal('old');
    expect(records.learn({ ...summary, fence: 3 })).to.equal('changed');
  });
});
