import { expect } from 'chai';
import { Ok } from 'ts-results-es';
import { createMetrics } from '../../src/metrics/index.js';
import type { PermitQuery } from '../../src/links/index.js';
import { createVmWatch } from '../../src/membership/index.js';
import { createHeldShards, type HeldShardsParts } from '../../src/node/held-shards.js';
import { createSilentLog } from '../../src/events/index.js';
import type { ModelEngine, Vm } from '../../src/ports/index.js';
import { resolveShards } from '../../src/shards/index.js';
import { wait, type Clock } from '../../src/task/index.js';
import {
  createConfigurationNode,
  createObject,
  createVm,
  createWrite,
  smallConfiguration,
} from '../fixtures/configuration.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import { createFakeEngine } from '../fixtures/fake-engine.js';
import { createMemoryTable } from '../fixtures/memory-table.js';
import { defaultDecisions } from '../permits/harness.js';

const LIMIT_MS = 3_000;
const SLOW_MS = 900;
const ASK_EVERY_MS = 20;
const holder = { node: 'n1', incarnation: 'n1-1', leaseId: 'lease', peer: '10.0.0.1:7000' };

const anyQuery: PermitQuery = {
  kind: 'permit.request',
  shard: 'manuals',
  requestId: '',
  attempt: 1,
  configurationVersion: 0,
  group: 'manuals',
  team: 'kumasi',
  class: 'verdict',
  weight: 1,
  priority: 5,
  firstTokenInMs: 2_000,
  deadlineInMs: 60_000,
  promptTokens: 10,
  expectedOutputTokens: 10,
  prefixes: [],
  model: 'm',
  repeatable: true,
  avoid: [],
};

/** Wraps an engine so that answers take almost the call timeout and are stale on arrival. */
function slowDown(engine: ModelEngine, clock: Clock): ModelEngine {
  return {
    ...engine,
    async state() {
      const state = await engine.state();
      await wait(clock, SLOW_MS);
      return state;
    },
    load: () => wait(clock, SLOW_MS).then(() => engine.load()),
    cacheEvents: () => wait(clock, SLOW_MS).then(() => Ok([])),
  };
}

/** Creates a shard holder with one slow engine, a slow platform list and a steady load. */
async function setUp() {
  const { clock, advance, runUntil } = createFakeClock();
  const { table } = createMemoryTable();
  const operator = createConfigurationNode({ name: 'n2', table, clock, seed: 2 });
  const { replica } = createConfigurationNode({ name: 'n1', table, clock });
  await operator.replica.start();
  await replica.start();
  const write = (objects: Parameters<typeof createWrite>[0]) =>
    runUntil(operator.writer.write(createWrite(objects)));
  (await write(smallConfiguration)).unwrap();

  const engine = createFakeEngine({ clock, checksFence: true });
  const slowEngine = slowDown(engine.engine, clock);
  const parts: HeldShardsParts = {
    node: 'n1',
    clock,
    metrics: createMetrics(),
    backends: { engine: () => slowEngine, service: () => expect.fail() },
    replica,
    maxQueue: 10,
    watchEveryMs: 500,
    decisions: defaultDecisions,
    createId: () => `permit-${clock.now()}`,
    isLeaseValid: () => true,
    createOrders: () => ({
      start: () => Promise.resolve(),
      setVms: () => undefined,
      updateEngine: () => undefined,
      change: () => expect.fail(),
      changing: () => [],
      stop: () => undefined,
    }),
    opened: () => undefined,
  };
  const held = createHeldShards(parts);
  const platform: { vms: Vm[] } = {
    vms: [createVm({ id: 'engine-1', labels: { pool: 'manuals' } })],
  };
  const watch = createVmWatch({
    vmList: { list: () => wait(clock, SLOW_MS).then(() => Ok(platform.vms)) },
    clock,
    log: createSilentLog(),
    everyMs: 1_000,
    countNodes: () => 9,
    listed: (vms) => {
      held.update(resolveShards(vms, { maxServers: 16 }));
    },
    tell: () => undefined,
    fetch: () => Promise.resolve(undefined),
  });
  await runUntil(watch.start());
  const [shard] = resolveShards(platform.vms, { maxServers: 16 });
  if (shard === undefined) throw new Error('there is no shard');
  held.begin({ name: shard.name, fence: 1, revision: 1, holder }, shard);
  let lastGrantAt = 0;
  void work();

  async function work(): Promise<void> {
    for (let index = 0; ; index += 1) {
      await wait(clock, ASK_EVERY_MS);
      const requestId = `r${index}`;
      const query = { ...anyQuery, requestId };
      const answer = await held.find('manuals')?.ask('n1', query);
      if (answer?.kind !== 'permit.granted') continue;
      lastGrantAt = clock.now();
      const { permitId, server } = answer.permit;
      held.find('manuals')?.release({
        ...query,
        kind: 'permit.release',
        permitId,
        server,
        result: 'answered',
        cachedTokens: 0,
        outputTokens: 1,
        totalMs: 1,
      });
    }
  }

  return { clock, advance, write, engine, platform, lastGrantAt: () => lastGrantAt };
}

type Bench = Awaited<ReturnType<typeof setUp>>;

const sources: Record<string, (bench: Bench) => unknown> = {
  'its reported state': ({ engine }) => {
    engine.control.leave();
  },
  "the platform's list": ({ platform }) => {
    platform.vms = platform.vms.map((vm) => ({ ...vm, state: 'leaving' }));
  },
  'its absence from the list': ({ platform }) => {
    platform.vms = [];
  },
  "an operator's label": ({ write }) =>
    write([createObject({ kind: 'vm', name: 'engine-1', drained: true })]),
};

describe('a backend server that leaves', () => {
  for (const [source, startLeaving] of Object.entries(sources)) {
    it(`gets no new work 3 s after it leaves according to ${source}, even with slow answers`, async () => {
      for (let offset = 0; offset < 3_000; offset += 370) {
        const bench = await setUp();
        await bench.advance(5_000 + offset);
        expect(bench.lastGrantAt()).to.be.above(bench.clock.now() - 200);
        const changedAt = bench.clock.now();
        await startLeaving(bench);
        await bench.advance(15_000);
        expect(bench.lastGrantAt() - changedAt).to.be.below(LIMIT_MS);
      }
    });
  }
});
