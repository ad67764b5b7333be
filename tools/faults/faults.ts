/**
 * The faults of the matrix: what each does to the world, and for how long.
 */
import { match } from 'ts-pattern';
import type { RandomSource } from '../../src/task/index.js';
import { between, pickFrom } from './chance.js';
import type { FakeProcess } from './fakes/process.js';
import { TABLE, tablePurposes, type WriteFault } from './fakes/table.js';
import { engineNames, nodeNames, workerNames } from './fleet.js';
import type { Workload } from './workload.js';
import type { World } from './world.js';

/** The columns of the matrix. `none` shows that the workload alone violates nothing. */
export const faultNames = [
  'none',
  'kill',
  'pause',
  'cut-table',
  'cut-peers',
  'cut-server',
  'table-down',
  'table-slow',
  'answer-lost',
  'late-duplicate',
  'stale-list',
  'engine-crash',
  'two-operators',
] as const;

/** A fault. */
export type Fault = (typeof faultNames)[number];

/** Where a fault strikes. */
export interface Strike {
  world: World;
  workload: Workload;
  random: RandomSource;
  /** The process that is at the step. */
  process: FakeProcess;
  /** The server at the other side of the step, if any. */
  server: string | undefined;
  /** Whether a pause is to last as long as it can. */
  isLongest: boolean;
}

/** Longer than a taker waits before it takes a lease. */
const LEAST_PAUSE_MS = 4_200;
const MOST_SHORT_PAUSE_MS = 6_000;
/** Long pauses end at this time of the run, so that what follows from them can be seen. */
const PAUSES_UNTIL = 15_500;
const WRITES_DISTURBED_MS = 6_000;

/**
 * Lets a fault strike now; it ends by itself.
 *
 * @param fault which fault
 * @param strike where
 */
export function inject(fault: Fault, strike: Strike): void {
  match(fault)
    .with('none', () => undefined)
    .with('kill', () => {
      killAndReplace(strike);
    })
    .with('pause', () => {
      pause(strike);
    })
    .with('cut-table', () => {
      cut(strike, [TABLE], between(1_500, 6_000, strike.random));
    })
    .with('cut-peers', () => {
      const peers = nodeNames.filter((name) => name !== strike.process.name);
      cut(strike, peers, between(1_500, 6_000, strike.random));
    })
    .with('cut-server', () => {
      cut(strike, [chooseServer(strike)], between(1_000, 5_000, strike.random));
    })
    .with('table-down', () => {
      strike.world.network.setDown(TABLE, true);
      later(strike, between(2_000, 6_000, strike.random), () => {
        strike.world.network.setDown(TABLE, false);
      });
    })
    .with('table-slow', () => {
      strike.world.network.slow(TABLE, between(400, 1_600, strike.random));
      later(strike, between(2_000, 6_000, strike.random), () => {
        strike.world.network.slow(TABLE, 0);
      });
    })
    .with('answer-lost', () => {
      const lost = { dropAnswer: true };
      disturbWrites(strike, [lost, lost, {}, lost]);
    })
    .with('late-duplicate', () => {
      disturbDeliveries(strike);
    })
    .with('stale-list', () => {
      strike.world.vms.setStale(true);
      later(strike, between(4_000, 6_000, strike.random), () => {
        strike.world.vms.setStale(false);
      });
    })
    .with('engine-crash', () => {
      crash(strike, chooseServer(strike));
    })
    .with('two-operators', () => {
      strike.workload.setOperatorsAgainstEachOther();
    })
    .exhaustive();
}

function later(strike: Strike, delayMs: number, action: () => void): void {
  strike.world.time.after(delayMs, action);
}

function killAndReplace({ world, process, random }: Strike): void {
  const { name } = process;
  world.kill(name);
  world.time.after(between(500, 5_000, random), () => {
    if (world.nodes.get(name)?.process.isDead() === true) void world.start(name);
  });
}

function pause(strike: Strike): void {
  strike.process.pause();
  const { random, world } = strike;
  const longestMs = PAUSES_UNTIL - world.time.now();
  const shortMs = between(LEAST_PAUSE_MS, MOST_SHORT_PAUSE_MS, random);
  later(
    strike,
    random.next() < 0.5 && !strike.isLongest ? shortMs : Math.max(shortMs, longestMs),
    () => {
      strike.process.resume();
    },
  );
}

function cut(strike: Strike, others: readonly string[], lengthMs: number): void {
  const { network } = strike.world;
  const { name } = strike.process;
  for (const other of others) {
    network.cut(name, other);
    later(strike, lengthMs, () => {
      network.heal(name, other);
    });
  }
}

function chooseServer({ server, random }: Strike): string {
  return server ?? pickFrom([...engineNames, ...workerNames], random) ?? 'e1';
}

function crash(strike: Strike, server: string): void {
  const { world, random } = strike;
  const crashed = world.engines.get(server) ?? world.services.get(server);
  crashed?.crash();
  later(strike, between(300, 3_000, random), () => crashed?.restart());
}

/** Writes, orders, notices and tokens arrive late or twice for a while. */
function disturbDeliveries(strike: Strike): void {
  const { world, random } = strike;
  const isLate = { extraDelayMs: between(1_200, 6_000, random) };
  disturbWrites(strike, [isLate, {}, isLate]);
  for (const engine of world.engines.values()) engine.disturb(3);
  world.setDuplicating(true);
  later(strike, between(1_000, 4_000, random), () => {
    world.setDuplicating(false);
  });
}

function disturbWrites(strike: Strike, faults: readonly WriteFault[]): void {
  const { world, process } = strike;
  later(strike, WRITES_DISTURBED_MS, () => {
    world.table.calm(process.name);
  });
  for (const purpose of tablePurposes) world.table.disturb(process.name, purpose, ...faults);
}
