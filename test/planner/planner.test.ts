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

/** Demand for so many engines' work, of which a share is reading prompts. */
function createDemand(engines: number, reading: number): Demand {
  return {
    promptTokensPerSecond: engines * reading * rates.promptTokensPerSecond,
    outputTokensPerSecond: engines * (1 - reading) * rates.outputTokensPerSecond,
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

/** Lets the mix swing to and fro; a change takes effect after the time away. */
function countSwingChanges(planner: RolePlanner, horizonMs: number, periodMs: number): number {
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

describe('the planner of roles', () => {
  it('leaves mixed engines alone whatever the mix, as no role serves more', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 10 }), demands, (count, demand) => {
        const input = createInput(Array<Role>(count).fill('mixed'), demand);
        expect(new CostedPlanner(usualTerms).plan(input)).to.deep.equal([]);
      }),
    );
  });

  it('gives roles where mixed work costs more than it gains', () => {
    const costly = { rates: { ...rates, mixedEfficiency: 0.5 } };
    const input = createInput(Array<Role>(6).fill('mixed'), createDemand(6, 0.5), costly);
    expect(new CostedPlanner(usualTerms).plan(input).length).to.equal(1);
  });

  it('never serves less by a plan, nor begins more changes at once than allowed', () => {
    const input = fc.record({
      roles: roleLists,
      demand: demands,
      maxAtOnce: fc.integer({ min: 1, max: 3 }),
      changing: fc.nat(3),
    });
    fc.assert(
      fc.property(input, ({ roles, demand, maxAtOnce, changing }) => {
        const engines = createEngines(roles);
        for (const engine of engines.slice(0, changing)) engine.isChanging = true;
        const planner = new CostedPlanner({ ...usualTerms, maxAtOnce: 99 });
        const bounded = new CostedPlanner({ ...usualTerms, maxAtOnce });
        const given = { engines, demand, rates, downtimeMs: DOWNTIME_MS };
        const under = engines.filter(({ isChanging }) => isChanging).length;
        const begun = bounded.plan(given);
        expect(begun.length).to.be.at.most(Math.max(0, maxAtOnce - under));
        for (const { engine } of begun) {
          expect(engines.find(({ id }) => id === engine)?.isChanging).to.equal(false);
        }
        if (under > 0) return;
        const after = engines.map((engine) => ({ ...engine }));
        for (const { engine, role } of planner.plan(given)) {
          const changed = after.find(({ id }) => id === engine);
          if (changed !== undefined) changed.role = role;
        }
        const before = resolveServedShare(countRoles(engines), demand, rates);
        expect(resolveServedShare(countRoles(after), demand, rates)).to.be.at.least(before);
      }),
    );
  });

  it('changes nothing more when a change costs more', () => {
    const input = fc.record({
      roles: roleLists,
      demand: demands,
      costs: fc.tuple(fc.integer({ min: 0, max: 60 }), fc.integer({ min: 0, max: 60 })),
    });
    fc.assert(
      fc.property(input, ({ roles, demand, costs }) => {
        const given = createInput(roles, demand);
        const plan = (changeCost: number) =>
          new CostedPlanner({ ...usualTerms, changeCost, maxAtOnce: 99 }).plan(given).length;
        expect(plan(Math.max(...costs))).to.be.at.most(plan(Math.min(...costs)));
      }),
    );
  });

  it('does not follow a swing that is faster than its horizon, as the eager one does', () => {
    const horizonMs = 30_000;
    const planner = new CostedPlanner({ ...usualTerms, horizonMs });
    const costed = countSwingChanges(planner, horizonMs, 20_000);
    const eager = countSwingChanges(new EagerPlanner(1), 2_000, 20_000);
    expect(costed).to.be.at.most(6);
    expect(eager).to.be.greaterThan(20 * costed);
  });

  it('follows a mix that stays changed', () => {
    const wrong: Role[] = ['prefill', 'prefill', 'prefill', 'prefill', 'decode'];
    const input = createInput(wrong, createDemand(4, 0.2));
    expect(new CostedPlanner(usualTerms).plan(input).length).to.equal(1);
  });

  it('reads demand over a horizon by class, refused requests included', async () => {
    const drive = createHarness({ engines: [{ id: 'manual-1' }] });
    for (let second = 0; second < 10; second += 1) {
      drive.send({ class: 'verdict', firstTokenInMs: -1, promptTokens: 500, tokens: 20 });
      await drive.advance(1_000);
    }
    const [demand] = drive.holder.demand('manuals', 5_000);
    expect(demand).to.deep.include({ class: 'verdict', promptTokensPerSecond: 500 });
    expect(demand?.outputTokensPerSecond).to.equal(20);
  });

  it('has its changes carried out, with the models that the engine has', async () => {
    const engines = ['manual-1', 'manual-2', 'manual-3'].map((id) => ({
      id,
      role: id === 'manual-1' ? ('prefill' as const) : ('decode' as const),
    }));
    const drive = createHarness({ engines });
    const asked: string[] = [];
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
        asked.push(`${server} ${role} ${models.join()}`);
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
    expect(asked[0]).to.match(/^manual-[123] (mixed|decode) model$/);
  });
});
