/**
 * Measures what it is worth that a request for a permit carries the configuration it was made
 * under. The rule is that of "Transactional-Turn Causal Consistency" (a message does not overtake an
 * update), with one version number in place of the vector. In each round two of three engines are
 * drained at one node while the holder is cut off for a moment, and that node asks for places as
 * soon as the cut has healed. A request on a drained engine after its drain was accepted was decided
 * under the older configuration.
 */
import { wait } from '../../src/task/index.js';
import { ask, type Attempt } from './caller.js';
import { createObjects, engineNames, nodeNames } from './fleet.js';
import type { Mechanism } from './mechanisms.js';
import { setDrained, writeObjects } from './operator.js';
import { createWorld, type World } from './world.js';

const ROUNDS = 100;
const ASKED_EACH_ROUND = 4;
const SEED = 7;
const START_MS = 3_000;
const ROUND_MS = 4_000;
const CUT_MS = 300;
const SHARD = 'manuals';

/** What came of all rounds. */
interface Overtaking {
  asked: number;
  /** Requests that began on an engine whose drain had been accepted before they were asked. */
  overtaken: number;
  /** Time from asking to the answer, in milliseconds: the median. */
  medianMs: number;
}

interface Round {
  world: World;
  holder: string;
  asker: string;
  drained: readonly string[];
}

function choose(world: World): Round | undefined {
  const holder = world.holders.get(SHARD);
  const asker = nodeNames.find((name) => name !== holder);
  if (holder === undefined || asker === undefined) return undefined;
  return { world, holder, asker, drained: engineNames.slice(0, -1) };
}

async function setAllDrained(round: Round, isDrained: boolean): Promise<void> {
  for (const engine of round.drained) {
    await setDrained(round.world, round.asker, engine, isDrained);
  }
}

function setCut({ world, holder }: Round, isCut: boolean): void {
  for (const name of nodeNames) {
    if (name === holder) continue;
    if (isCut) world.network.cut(name, holder);
    else world.network.heal(name, holder);
  }
}

async function run(round: Round, name: string): Promise<Attempt[]> {
  const { world, asker } = round;
  setCut(round, true);
  await setAllDrained(round, true);
  await wait(world.time, CUT_MS);
  setCut(round, false);
  const asked: Promise<Attempt>[] = [];
  for (let index = 0; index < ASKED_EACH_ROUND; index++) {
    const question = { kind: 'completion' as const, name: `${name}-${index}`, isStreamed: false };
    asked.push(ask(world, asker, question));
  }
  const attempts = await Promise.all(asked);
  await setAllDrained(round, false);
  return attempts;
}

function countOvertaken(round: Round, attempts: readonly Attempt[]): number {
  let overtaken = 0;
  for (const { requestId } of attempts) {
    const first = round.world.record.executions.find((done) => done.requestId === requestId);
    if (first !== undefined && round.drained.includes(first.server)) overtaken += 1;
  }
  return overtaken;
}

async function measure(off?: Mechanism): Promise<Overtaking> {
  const world = createWorld(SEED, off);
  const { time } = world;
  for (const name of nodeNames) void world.start(name);
  await time.runUntil(START_MS / 2);
  void writeObjects(world, nodeNames[0] ?? '', createObjects(), 'all');
  await time.runUntil(START_MS);
  const durations: number[] = [];
  let overtaken = 0;
  for (let index = 0; index < ROUNDS; index++) {
    const round = choose(world);
    if (round === undefined) throw new Error('no node holds the engines');
    void run(round, `round-${index}`).then((attempts) => {
      overtaken += countOvertaken(round, attempts);
      for (const { startedAt, endedAt } of attempts) durations.push(endedAt - startedAt);
    });
    await time.runUntil(START_MS + (index + 1) * ROUND_MS);
  }
  for (const name of nodeNames) world.kill(name);
  durations.sort((left, right) => left - right);
  const medianMs = durations[Math.floor(durations.length / 2)] ?? Number.NaN;
  return { asked: durations.length, overtaken, medianMs };
}

function print(name: string, { asked, overtaken, medianMs }: Overtaking): void {
  const times = `median ${medianMs.toFixed(1)} ms to the whole answer`;
  process.stdout.write(`${name}: ${overtaken} of ${asked} requests overtook a drain; ${times}\n`);
}

print('with versions on requests for permits', await measure());
print('without', await measure('version-order'));
