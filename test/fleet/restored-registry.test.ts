import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import { createFleet, type RegistryChange } from '../../src/fleet/index.js';
import { resolvePosition } from '../../src/ports/position.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

function createEntry(id: string, revision: number, isLeaving = false): RegistryChange {
  const server = {
    id,
    service: 'pages',
    address: `${id}:80`,
    zone: 'a',
    slots: 4,
    isLeaving,
    role: undefined,
    warmUpMs: 0,
  };
  return { id, revision, server };
}

function createCase() {
  const { clock, advance } = createFakeClock();
  const fleet = createFleet(clock, createSilentLog(), () => undefined);
  const entries = ['stays', 'leaves', 'drains'].map((id) =>
    createEntry(id, resolvePosition(1, 10)),
  );
  fleet.replace(entries, resolvePosition(1, 10));
  fleet.learn({ id: 'leaves', revision: resolvePosition(1, 11), server: undefined }, 'store');
  fleet.learn(createEntry('drains', resolvePosition(1, 12), true), 'store');
  fleet.learn(createEntry('comes', resolvePosition(1, 13)), 'store');
  const copy = entries.map(({ id }) => createEntry(id, resolvePosition(2, 10)));

  function list(): string[] {
    return fleet.available('pages').map(({ id }) => id);
  }

  return { fleet, advance, list, copy };
}

describe('a registry that is restored from an older copy', () => {
  it('brings back no server that was seen to leave, and none that drains', () => {
    const { fleet, list, copy } = createCase();
    fleet.replace(copy, resolvePosition(2, 10));
    expect(list()).to.deep.equal(['comes', 'stays']);
  });

  it('does so also where a peer has told of the new era before', () => {
    const { fleet, list, copy } = createCase();
    fleet.learn(createEntry('other', resolvePosition(2, 11)), 'peer');
    fleet.reach(resolvePosition(2, 11));
    fleet.replace(copy, resolvePosition(2, 11));
    expect(list()).to.deep.equal(['comes', 'other', 'stays']);
  });

  it('takes no server as gone while it may write its entry again, and then does', async () => {
    const { fleet, advance, list, copy } = createCase();
    fleet.replace(copy, resolvePosition(2, 10));
    await advance(2_000);
    expect(list()).to.include('comes');
    await advance(1_000);
    expect(list()).to.deep.equal(['stays']);
  });

  it('keeps a server that has written its entry again', async () => {
    const { fleet, advance, list, copy } = createCase();
    fleet.replace(copy, resolvePosition(2, 10));
    fleet.learn(createEntry('comes', resolvePosition(2, 11)), 'store');
    await advance(5_000);
    expect(list()).to.deep.equal(['comes', 'stays']);
  });

  it('takes the word of a server that writes again after it was gone', () => {
    const { fleet, list, copy } = createCase();
    fleet.replace(copy, resolvePosition(2, 10));
    fleet.learn(createEntry('leaves', resolvePosition(2, 11)), 'store');
    expect(list()).to.include('leaves');
  });
});
