/**
 * What goes on in every run while a fault strikes: callers ask, operators change labels, a server is
 * drained, a worker and an engine leave, and a node is replaced as planned.
 */
import { pickFrom, type RandomSource } from './chance.js';
import { ask, type Attempt, type Question } from './caller.js';
import { createObjects, nodeNames } from './fleet.js';
import { setDrained, writeObjects, type AskedChange } from './operator.js';
import type { World } from './world.js';

/** When the workload begins, in milliseconds of the run. */
export const WORK_FROM = 2_500;
/** When callers ask nothing new any more. */
export const WORK_UNTIL = WORK_FROM + 7_500;
/** When the run ends: every fault is over and its consequences are too. */
export const RUN_UNTIL = WORK_UNTIL + 13_000;

const CONFIGURE_AT = 800;
const PROBE_AT = RUN_UNTIL - 3_000;
const RETRY_AFTER_MS = 700;
const MAX_TRIES = 4;
const TWIN_SHARE = 0.3;
const REPLAY_SHARE = 0.2;
const BURST = 14;
const BURSTS = 3;
const BURST_EVERY_MS = 2_000;

/** A server that must get no new work. */
export interface Leaving {
  server: string;
  source: 'label' | 'own word' | 'list';
  since: number;
  until: number;
}

/** What happened outside the system in one run. */
export interface History {
  attempts: Attempt[];
  changes: AskedChange[];
  leavings: Leaving[];
  /** Requests that were sent after everything had healed. */
  probes: Attempt[];
}

/** The workload of one run. */
export interface Workload {
  history: History;
  /** Has two operators change one label at two nodes at once. */
  setOperatorsAgainstEachOther(): void;
}

/**
 * Plans a workload; it goes on by itself as the world's time does.
 *
 * @param world a world whose nodes are starting
 * @param random the source of its choices
 */
export function createWorkload(world: World, random: RandomSource): Workload {
  const { time } = world;
  const history: History = { attempts: [], changes: [], leavings: [], probes: [] };
  let marks = 0;
  let questions = 0;

  function pickNode(): string {
    return pickFrom(nodeNames, random) ?? 'n1';
  }

  function every(minMs: number, maxMs: number, action: () => void): void {
    const next = () => {
      if (time.now() >= WORK_UNTIL) return;
      action();
      time.after(minMs + random.next() * (maxMs - minMs), next);
    };
    time.after(WORK_FROM + random.next() * maxMs, next);
  }

  async function pursue(question: Question, node: string): Promise<void> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const attempt = await ask(world, tries === 0 ? node : pickNode(), question);
      history.attempts.push(attempt);
      if (attempt.told.kind === 'answered') return;
      await sleep(RETRY_AFTER_MS);
    }
  }

  function sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      time.after(ms, resolve);
    });
  }

  function askCompletion(): void {
    questions += 1;
    const isStreamed = random.next() < 0.7;
    const question: Question = { kind: 'completion', name: `prompt ${questions}`, isStreamed };
    void pursue(question, pickNode());
  }

  async function askKeyed(): Promise<void> {
    questions += 1;
    const question: Question = { kind: 'keyed', name: `key-${questions}`, isStreamed: false };
    const node = pickNode();
    const hasTwin = random.next() < TWIN_SHARE;
    if (hasTwin) void pursue(question, pickNode());
    await pursue(question, node);
    if (random.next() < REPLAY_SHARE) await pursue(question, pickNode());
  }

  function askOpen(): void {
    questions += 1;
    void pursue({ kind: 'open', name: `open-${questions}`, isStreamed: false }, pickNode());
  }

  async function changeLabel(node: string): Promise<void> {
    marks += 1;
    const mark = `m${marks}`;
    const [team] = createObjects();
    const labelled = { ...team, labels: { mark } };
    history.changes.push(await writeObjects(world, node, [labelled], mark));
  }

  /** Every engine of the group has to load the adapters; that takes an order each. */
  async function wantAdapters(adapters: string[]): Promise<void> {
    const [, , , group] = createObjects();
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const asked = await writeObjects(world, pickNode(), [{ ...group, adapters }], '');
      history.changes.push(asked);
      if (asked.told.kind === 'accepted') return;
      await sleep(RETRY_AFTER_MS);
    }
  }

  async function drainForAWhile(server: string): Promise<void> {
    const drained = await drain(server, true);
    if (!drained) return;
    const leaving: Leaving = { server, source: 'label', since: time.now(), until: Infinity };
    history.leavings.push(leaving);
    await sleep(3_800);
    leaving.until = time.now();
    await drain(server, false);
  }

  async function drain(server: string, isDrained: boolean): Promise<boolean> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const asked = await setDrained(world, pickNode(), server, isDrained);
      history.changes.push(asked);
      if (asked.told.kind === 'accepted') return true;
      await sleep(RETRY_AFTER_MS);
    }
    return false;
  }

  function leaveByOwnWord(server: string): void {
    world.services.get(server)?.leave();
    const since = time.now();
    history.leavings.push({ server, source: 'own word', since, until: Infinity });
  }

  function leaveByList(server: string): void {
    for (const vm of world.vms.vms) {
      if (vm.id === server) vm.state = 'leaving';
    }
    const look = () => {
      if (world.vms.shown().some(({ id, state }) => id === server && state === 'leaving')) {
        const since = time.now();
        history.leavings.push({ server, source: 'list', since, until: Infinity });
        return;
      }
      time.after(100, look);
    };
    look();
  }

  /** A planned stop is the harder the more the node holds. */
  function pickHolder(): string {
    return pickFrom([...world.holders.values()], random) ?? 'n3';
  }

  async function replaceNode(name: string): Promise<void> {
    await world.stop(name);
    await sleep(500);
    if (world.nodes.get(name)?.process.isDead() === true) await world.start(name);
  }

  async function probe(): Promise<void> {
    for (const engine of world.engines.values()) engine.heal();
    for (const [index, node] of nodeNames.entries()) {
      const completion: Question = { kind: 'completion', name: `probe ${index}`, isStreamed: true };
      const keyed: Question = { kind: 'keyed', name: `probe-${index}`, isStreamed: false };
      history.probes.push(await ask(world, node, completion), await ask(world, node, keyed));
    }
    // Whatever became of a key, asking again must not run it again.
    for (const name of new Set(history.attempts.map(({ question }) => question.name))) {
      if (!name.startsWith('key-')) continue;
      const question: Question = { kind: 'keyed', name, isStreamed: false };
      void ask(world, pickNode(), question).then((attempt) => {
        history.attempts.push(attempt);
      });
    }
  }

  time.after(CONFIGURE_AT, () => {
    void writeObjects(world, 'n1', createObjects(), 'first').then((asked) => {
      history.changes.push(asked);
    });
  });
  every(180, 380, askCompletion);
  every(300, 500, () => void askKeyed());
  every(500, 700, askOpen);
  every(1_200, 1_800, () => void changeLabel(pickNode()));
  for (let burst = 0; burst < BURSTS; burst++) {
    time.after(WORK_FROM + 1_500 + burst * BURST_EVERY_MS + random.next() * 1_000, () => {
      for (let count = 0; count < BURST; count++) askCompletion();
    });
  }
  time.after(WORK_FROM + random.next() * 500, () => void wantAdapters(['brakes']));
  time.after(WORK_FROM + 3_000, () => void wantAdapters(['brakes', 'gears']));
  time.after(WORK_FROM + 2_000, () => void drainForAWhile('e1'));
  time.after(WORK_FROM + 3_000 + random.next() * 1_000, () => void replaceNode(pickHolder()));
  time.after(WORK_FROM + 3_500, () => {
    leaveByOwnWord('w2');
  });
  time.after(WORK_FROM + 4_500, () => {
    leaveByList('e2');
  });
  time.after(PROBE_AT, () => void probe());

  return {
    history,
    setOperatorsAgainstEachOther() {
      for (let round = 0; round < 3; round++) {
        time.after(round * 40, () => {
          void changeLabel('n1');
          void changeLabel('n2');
        });
      }
    },
  };
}
