import { expect } from 'chai';
import { Ok } from 'ts-results-es';
import { createSilentLog } from '../../src/events/index.js';
import type { EngineRole, RegisteredServer } from '../../src/fleet/index.js';
import { createRoleController, type EngineState } from '../../src/roles/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

const ROLE_CHANGE_MS = 3_000;

function engine(id: string, role: EngineRole): RegisteredServer {
  return {
    id,
    service: 'chat',
    address: '127.0.0.1:1',
    zone: 'a',
    slots: 16,
    isLeaving: false,
    role,
    warmUpMs: 0,
  };
}

/** Ten engines, of which two of the six registered ones that decode are becoming prefill engines. */
const engines = [
  ...['r1', 'r2', 'r3', 'r4'].map((id) => engine(id, 'prefill')),
  ...['g1', 'g2', 'g3', 'g4', 'c1', 'c2'].map((id) => engine(id, 'decode')),
];

function startController() {
  const { clock, advance } = createFakeClock();
  const changing = new Set(['c1', 'c2']);
  let registered: readonly RegisteredServer[] = engines;
  const orders: string[] = [];
  let asks = 0;
  const controller = createRoleController({
    node: 'node-1',
    clock,
    log: createSilentLog(),
    lease: { acquire: () => Promise.resolve({ fence: 1, isValid: () => true }) },
    orders: {
      state({ id, role }) {
        asks += 1;
        const state: EngineState = {
          role: role ?? 'decode',
          isChanging: changing.has(id),
          orders: 1,
        };
        return Promise.resolve(Ok(state));
      },
      order({ id }) {
        orders.push(id);
        return Promise.resolve({ kind: 'accepted', status: 202 });
      },
    },
    services: () => ['chat'],
    engines: () => registered,
    decodeLoad: () => undefined,
    roleChangeMs: () => ROLE_CHANGE_MS,
  });
  controller.start();
  return {
    controller,
    advance,
    orders,
    asks: () => asks,
    listChanging: () => engines.map(({ id }) => id).filter((id) => controller.isChanging(id)),
    completeChanges: () => {
      registered = engines.map((one) => (changing.has(one.id) ? { ...one, role: 'prefill' } : one));
      changing.clear();
    },
  };
}

describe('a role controller that has just started', () => {
  it('gives no order for a split that changes in progress already lead to', async () => {
    const { controller, advance, orders } = startController();
    await advance(20_000);
    expect(orders).to.deep.equal([]);
    controller.stop();
  });

  it('knows soon which engines change their role, until they have, however long they take', async () => {
    const { controller, advance, listChanging, completeChanges, orders, asks } = startController();
    await advance(100);
    expect(listChanging()).to.deep.equal(['c1', 'c2']);
    await advance(20_000);
    expect(listChanging()).to.deep.equal(['c1', 'c2']);
    completeChanges();
    await advance(10_000);
    expect(listChanging()).to.deep.equal([]);
    expect(orders).to.deep.equal([]);
    expect(asks()).to.be.below(2 * engines.length);
    controller.stop();
  });
});
