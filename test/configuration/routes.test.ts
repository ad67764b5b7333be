import { expect } from 'chai';
import {
  createSnapshot,
  explainRoute,
  resolveRoute,
  type Change,
  type StoredObject,
} from '../../src/configuration/index.js';
import { createObject, createVm, smallConfiguration } from '../fixtures/configuration.js';

function snapshotOf(objects: StoredObject[]) {
  const changes: Change[] = objects.map((object, index) => {
    const { kind, name } = object;
    return { version: index + 1, kind, name, object, author: 'ama', attempt: 'a' };
  });
  return createSnapshot(changes, changes.length);
}

const query = { team: 'kumasi', class: 'verdict', target: { model: 'manual-7b' } };

const spareGroup = createObject({
  kind: 'group',
  name: 'spare',
  model: 'manual-7b',
  labels: { tier: 'spare' },
  selector: {},
});

function bindingTo(name: string, groups: object, precedence: number) {
  return createObject({ kind: 'binding', name, teams: {}, classes: {}, groups, precedence });
}

describe('routes', () => {
  it('unite the groups of bindings with equal precedence', () => {
    const spare = bindingTo('spare', { matchLabels: { tier: 'spare' } }, 0);
    const snapshot = snapshotOf([...smallConfiguration, spareGroup, spare]);
    const route = resolveRoute(snapshot, query, 'n1').unwrap();
    expect(route.bindings).to.deep.equal(['all', 'spare']);
    expect(route.groups.map((group) => group.name)).to.deep.equal(['manuals', 'spare']);
    expect(resolveRoute(snapshot, query, 'n1').unwrap()).to.equal(route);
  });

  it('use only the highest precedence that serves the target', () => {
    const spare = bindingTo('spare', { matchLabels: { tier: 'spare' } }, 5);
    const idle = bindingTo('idle', { matchLabels: { tier: 'none' } }, 9);
    const snapshot = snapshotOf([...smallConfiguration, spareGroup, spare, idle]);
    const route = resolveRoute(snapshot, query, 'n1').unwrap();
    expect(route.bindings).to.deep.equal(['spare']);
    const { bindings } = explainRoute(snapshot, query, [], 'n1');
    const verdicts = bindings.map(({ name, verdict }) => `${name} ${verdict}`);
    expect(verdicts).to.deep.equal(['all outranked', 'spare used', 'idle not-matching']);
    expect(bindings[2]?.reasons[0]).to.contain('requires tier = none');
  });

  it('refuse with the offending field', () => {
    const snapshot = snapshotOf(smallConfiguration);
    const refusals = [
      { ...query, team: 'x' },
      { ...query, class: 'x' },
      { ...query, target: { model: 'x' } },
      { ...query, target: { service: 'x' } },
    ].map((wrong) => resolveRoute(snapshot, wrong, 'n1').unwrapErr());
    expect(refusals.map(({ code, field }) => `${code} ${field ?? ''}`)).to.deep.equal([
      'unknown-object team',
      'unknown-class class',
      'unknown-model model',
      'unknown-service service',
    ]);
    const unbound = snapshotOf(smallConfiguration.slice(0, 3));
    expect(resolveRoute(unbound, query, 'n1').unwrapErr().code).to.equal('no-binding');
  });

  it('explain for each VM why it is reached or not', () => {
    const pool = { pool: 'manuals' };
    const drained = createObject({ kind: 'vm', name: 'drained', labels: pool, drained: true });
    const labelled = createObject({ kind: 'vm', name: 'labelled', labels: pool });
    const snapshot = snapshotOf([...smallConfiguration, drained, labelled]);
    const vms = [
      createVm({ id: 'labelled', labels: { pool: 'other' } }),
      createVm({ id: 'drained' }),
      createVm({ id: 'leaving', labels: pool, state: 'leaving' }),
      createVm({ id: 'other' }),
      createVm({ id: 'service', labels: pool, kind: 'plain-service' }),
      createVm({ id: 'entry', kind: 'entry' }),
    ];
    const found = explainRoute(snapshot, query, vms, 'n1').vms;
    expect(found.map(({ id, reasons }) => `${id}: ${reasons.join()}`)).to.deep.equal([
      'labelled: ',
      'drained: an operator drains it',
      'leaving: the platform lists it as leaving',
      'other: not in manuals: requires pool = manuals, but the label is absent',
      'service: not in manuals: is of kind plain-service, the group takes model-engine',
    ]);
    expect(found.map(({ reached }) => reached)).to.deep.equal([true, false, false, false, false]);
  });
});
