import { expect } from 'chai';
import fc from 'fast-check';
import {
  CostedPlanner,
  countRoles,
  createDemandMeter,
  createRolePlanning,
  EagerPlanner,
  resolveServedShare,
  type Demand,
  type PlanInput,
  type PlannedEngine,
  type PlannerTerms,
  type RolePlanner,
} from '../../src/planner/index.js';
import { engineGroupSchema } from '../../src/configuration/objects.js';
import { Ok } from 'ts-results-es';
import { createHarness } from '../permits/harness.js';
import type { Role } from '../../src/ports/index.js';

const rates = { promptTokensPerSecond: 12_000, outputTokensPerSecond: 2_000, mixedEfficiency: 1 };
const usualTerms: PlannerTerms = { changeCost: 5, horizonMs: 30_000, maxAtOnce: 1 };
const DOWNTIME_MS = 3_000;

function createEngines(roles: readonly Role[]): PlannedEngine[] {
  return roles.map((role, index) => ({
    id: `engine-${index}`,
    role,
    isChanging: false,
    permitsOut: index,
  }));
}

function createInput(roles: readonly Role[], demand: Demand, more: Partial<PlanInput> = {}) {
  return { engines: createEngines(roles), demand, rates, downtimeMs: DOWNTIME_MS, ...more };
}

/** Demand that keeps a number of engines busy, with the input share of prefill work. */
function createDemand(engines: number, prefillShare: number): Demand {
  return {
    promptTokensPerSecond: engines * prefillShare * rates.promptTokensPerSecond,
    outputTokensPerSecond: engines * (1 - prefillShare) * rates.outputTokensPerSecond,
  };
}

const roleLists = fc.array(fc.constantFrom<Role>('mixed', 'prefill', 'decode'), {
  minLength: 2,
  maxLength: 10,
});
const demands = fc.record({
  promptTokensPerSecond: fc.integer({ min: 0, max: 200_000 }),
  outputTokensPerSecond: fc.integer({ min: 0, max: 30_000 }),
});

/** Counts the role changes while demand alternates between decode-heavy and prefill-heavy. */
function countChangesUnderSwings(
  planner: RolePlanner,
  horizonMs: number,
  periodMs: number,
): number {
  const meter = createDemandMeter(0);
  const engines = createEngines(['prefill', 'prefill', 'decode', 'decode', 'decode', 'decode']);
  let changes = 0;
  for (let now = 0; now < 600_000; now += 1_000) {
    const { promptTokensPerSecond, outputTokensPerSecond } = createDemand(
      4,
      Math.floor(now / (periodMs / 2)) % 2 === 0 ? 0.2 : 0.8,
    );
    const tokens = { promptTokens: promptTokensPerSecond, outputTokens: outputTokensPerSecond };
    meter.add({ group: 'manuals', class: 'verdict', ...tokens }, now);
    if (now < horizonMs || now % 5_000 !== 0) continue;
    const [demand = createDemand(0, 0)] = meter.read('manuals', horizonMs, now);
    for (const { engine, role } of planner.plan({
      engines,
      demand,
      rates,
      downtimeMs: DOWNTIME_MS,
    })) {
      const changed = engines.find(({ id }) => id === engine);
      if (changed !== undefined) changed.role = role;
      changes += 1;
    }
  }
  return changes;
}

describe('the role planner', () => {
  it('keeps mixed engines for any demand if dedicated roles serve no more', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 10 }), demands, (count, demand) => {
        const input = createInput(Array<Role>(count).fill('mixed'), demand);
        expect(new CostedPlanner(usualTerms).plan(input)).to.deep.equal([]);
      }),
    );
  });

  it('assigns dedicated roles if mixed engines are inefficient', () => {
    const costly = { rates: { ...rates, mixedEfficiency: 0.5 } };
    const input = createInput(Array<Role>(6).fill('mixed'), createDemand(6, 0.5), costly);
    expect(new CostedPlanner(usualTerms).plan(input).length).to.equal(1);
  });

  it('never reduces the served share, nor begins more changes than allowed', () => {
    const inputs = fc.record({
      roles: roleLists,
      demand: demands,
      maxAtOnce: fc.integer({ min: 1, max: 3 }),
      changing: fc.nat(3),
    });
    fc.assert(
      fc.property(inputs, ({ roles, demand, maxAtOnce, changing }) => {
        const engines = createEngines(roles);
        for (const engine of engines.slice(0, changing)) engine.isChanging = true;
        const planner = new CostedPlanner({ ...usualTerms, maxAtOnce: 99 });
        const bounded = new CostedPlanner({ ...usualTerms, maxAtOnce });
        const input = { engines, demand, rates, downtimeMs: DOWNTIME_MS };
        const inProgress = engines.filter(({ isChanging }) => isChanging).length;
        const changes = bounded.plan(input);
        expect(changes.length).to.be.at.most(Math.max(0, maxAtOnce - inProgress));
        for (const { engine } of changes) {
          expect(engines.find(({ id }) => id === engine)?.isChanging).to.equal(false);
        }
        if (inProgress > 0) return;
        const after = engines.map((engine) => ({ ...engine }));
        for (const { engine, role } of planner.plan(input)) {
          const changed = after.find(({ id }) => id === engine);
          if (changed !== undefined) changed.role = role;
        }
        const before = resolveServedShare(countRoles(engines), demand, rates);
        expect(resolveServedShare(countRoles(after), demand, rates)).to.be.at.least(before);
      }),
    );
  });

  it('makes no more changes at a higher change cost', () => {
    const inputs = fc.record({
      roles: roleLists,
      demand: demands,
      costs: fc.tuple(fc.integer({ min: 0, max: 60 }), fc.integer({ min: 0, max: 60 })),
    });
    fc.assert(
      fc.property(inputs, ({ roles, demand, costs }) => {
        const input = createInput(roles, demand);
        const plan = (changeCost: number) =>
          new CostedPlanner({ ...usualTerms, changeCost, maxAtOnce: 99 }).plan(input).length;
        expect(plan(Math.max(...costs))).to.be.at.most(plan(Math.min(...costs)));
      }),
    );
  });

  it('ignores swings faster than its horizon, unlike the eager planner', () => {
    const horizonMs = 30_000;
    const planner = new CostedPlanner({ ...usualTerms, horizonMs });
    const costed = countChangesUnderSwings(planner, horizonMs, 20_000);
    const eager = countChangesUnderSwings(new EagerPlanner(1), 2_000, 20_000);
    expect(costed).to.be.at.most(6);
    expect(eager).to.be.greaterThan(20 * costed);
  });

  it('follows a lasting change of demand', () => {
    const unsuitable: Role[] = ['prefill', 'prefill', 'prefill', 'prefill', 'decode'];
    const input = createInput(unsuitable, createDemand(4, 0.2));
    expect(new CostedPlanner(usualTerms).plan(input).length).to.equal(1);
  });

  it('averages demand over a horizon by class, refused requests included', async () => {
    const drive = createHarness({ engines: [{ id: 'manual-1' }] });
    for (let second = 0; second < 10; second += 1) {
      drive.send({ class: 'verdict', firstTokenInMs: -1, promptTokens: 500, tokens: 20 });
      await drive.advance(1_000);
    }
    const [demand] = drive.holder.demand('manuals', 5_000);
    expect(demand).to.deep.include({ class: 'verdict', promptTokensPerSecond: 500 });
    expect(demand?.outputTokensPerSecond).to.equal(20);
  });

  it('carries out changes with the present models of the engine', async () => {
    const engines = ['manual-1', 'manual-2', 'manual-3'].map((id) => ({
      id,
      role: id === 'manual-1' ? ('prefill' as const) : ('decode' as const),
    }));
    const drive = createHarness({ engines });
    const requested: string[] = [];
    const planning = createRolePlanning({
      clock: drive.clock,
      holder: drive.holder,
      isEager: false,
      isMember: () => true,
      groups: () => [
        engineGroupSchema.parse({
          kind: 'group',
          name: 'manuals',
          selector: {},
          roles: { changeCost: 0, horizonMs: 40_000 },
        }),
      ],
      change(server, { role, models }) {
        requested.push(`${server} ${role} ${models.join()}`);
        return Promise.resolve(Ok(undefined));
      },
    });
    planning.start();
    for (let second = 0; second < 30; second += 1) {
      for (let index = 0; index < 20; index += 1) {
        drive.send({ promptTokens: 10, tokens: 200, firstTokenInMs: 50 });
      }
      await drive.advance(1_000);
    }
    planning.stop();
    expect(requested[0]).to.match(/^manual-[123] (mixed|decode) model$/);
  });
});
