import { expect } from 'chai';
import {
  applyChange,
  createSnapshot,
  type Change,
  type StoredObject,
} from '../../src/configuration/index.js';
import { createGroupServers } from '../../src/node/group-servers.js';
import { resolveShards } from '../../src/shards/index.js';
import { createObject, createVm, smallConfiguration } from '../fixtures/configuration.js';

function createChange(object: StoredObject, version: number): Change {
  const { kind, name } = object;
  return { version, kind, name, author: 'ama', attempt: 'one', object };
}

describe('the servers of a group', () => {
  const labels = { pool: 'manuals' };
  const terms = { maxServers: 16 };

  it('follow the configuration and the list, and are looked for once in between', () => {
    const changes = smallConfiguration.map((object, index) => createChange(object, index + 1));
    let snapshot = createSnapshot(changes, changes.length);
    let shards = resolveShards([createVm({ id: 'engine-1', labels })], terms);
    const servers = createGroupServers({ snapshot: () => snapshot, shards: () => shards });
    const idsOf = () => {
      const group = snapshot.groups.get('manuals');
      if (group === undefined) throw new Error('no group');
      const kept = servers.shardsOf(group);
      expect(servers.shardsOf(group)).to.equal(kept);
      expect(kept.map(({ name }) => name)).to.deep.equal(['manuals']);
      return servers.serversOf(group).map(({ id }) => id);
    };
    expect(idsOf()).to.deep.equal(['engine-1']);
    const second = createVm({ id: 'engine-2', labels });
    shards = resolveShards([createVm({ id: 'engine-1', labels }), second], terms);
    expect(idsOf()).to.deep.equal(['engine-1', 'engine-2']);
    expect(servers.shardOf('engine-2')).to.equal('manuals');
    const drained = createObject({ kind: 'vm', name: 'engine-1', drained: true });
    snapshot = applyChange(snapshot, createChange(drained, changes.length + 1));
    expect(idsOf()).to.deep.equal(['engine-2']);
  });
});
