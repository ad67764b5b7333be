/**
 * Slopes of membership at up to 410 nodes, on a simulated network: what a node sends and computes
 * at rest, and what one change of each kind costs a node.
 */
import type { ShardSummary } from '../../src/links/index.js';
import { startNetwork, type SimulatedNetwork } from './network.js';
import type { Point } from './fit.js';
import { report, say, type Series } from './report.js';

const NODE_COUNTS = [50, 100, 200, 410];
const SERVERS_PER_SHARD = 16;
const SETTLE_MS = 2_000;
const MEASURE_MS = 4_000;
const EVENT_MS = 4_000;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;

/** Settings that the page proposes for the size of letter 1. */
export const largeTerms = { heartbeatEveryMs: 500, suspectAfterMs: 2_000, maxPeers: 16 };

interface Cost {
  bytes: number;
  frames: number;
  processorMs: number;
}

interface Sample {
  nodes: number;
  idle: Cost;
  version: Cost;
  shard: Cost;
  leaving: Cost;
  silent: Cost;
  /** Simulated time until the last node knew of the silent one. */
  knownAfterMs: number;
}

/** Cost of one node while the network runs. */
async function run(network: SimulatedNetwork, durationMs: number): Promise<Cost> {
  const bytes = network.bytes();
  const frames = network.frames();
  const usage = process.cpuUsage();
  await network.run(durationMs);
  const { user, system } = process.cpuUsage(usage);
  const count = network.nodes.length;
  return {
    bytes: (network.bytes() - bytes) / count,
    frames: (network.frames() - frames) / count,
    processorMs: (user + system) / MICROSECONDS_PER_MS / count,
  };
}

/** Cost of one event beyond what the network costs at rest. */
async function runEvent(network: SimulatedNetwork, idle: Cost, cause: () => void): Promise<Cost> {
  cause();
  const cost = await run(network, EVENT_MS);
  const share = EVENT_MS / MEASURE_MS;
  return {
    bytes: cost.bytes - idle.bytes * share,
    frames: cost.frames - idle.frames * share,
    processorMs: cost.processorMs - idle.processorMs * share,
  };
}

function createSummary(holder: string): ShardSummary {
  const servers = [];
  for (let index = 0; index < SERVERS_PER_SHARD; index++) {
    servers.push({ id: `engine-${1_000 + index}`, free: 12, role: 'mixed' as const });
  }
  return { shard: 'model-7b.zone-1.3', holder, fence: 1, sequence: 1, waiting: 0, servers };
}

async function waitUntilKnown(network: SimulatedNetwork, count: number): Promise<number> {
  const stepMs = 100;
  let waitedMs = 0;
  const isKnown = () =>
    network.nodes.every(({ up, membership }) => !up || membership.aliveNames().length === count);
  while (!isKnown() && waitedMs < EVENT_MS) {
    await network.run(stepMs);
    waitedMs += stepMs;
  }
  return waitedMs;
}

async function measureAt(count: number): Promise<Sample> {
  const network = await startNetwork(count, largeTerms);
  await network.run(SETTLE_MS);
  const idle = await run(network, MEASURE_MS);
  const [first, second, third] = network.nodes;
  if (first === undefined || second === undefined || third === undefined) {
    throw new Error('a network needs three nodes');
  }
  const version = await runEvent(network, idle, () => {
    for (const node of network.nodes) {
      node.version += 1;
      node.membership.announce();
    }
  });
  const shard = await runEvent(network, idle, () => {
    first.shards = [createSummary(first.name)];
    first.membership.announce();
  });
  const leaving = await runEvent(network, idle, () => {
    second.leaving = true;
    second.membership.announce();
  });
  let knownAfterMs = 0;
  network.kill(third);
  const silent = await runEvent(network, idle, () => undefined);
  const fourth = network.nodes[3];
  if (fourth !== undefined) {
    network.kill(fourth);
    knownAfterMs = await waitUntilKnown(network, count - 3);
  }
  for (const { membership } of network.nodes) membership.stop();
  return { nodes: count, idle, version, shard, leaving, silent, knownAfterMs };
}

/** Networks of ever more nodes. */
export async function measureMembership(): Promise<void> {
  const samples: Sample[] = [];
  for (const count of NODE_COUNTS) {
    say(`simulated network of ${count} nodes`);
    samples.push(await measureAt(count));
  }
  const series: Series[] = [];
  const add = (name: string, unit: string, yOf: (sample: Sample) => number): void => {
    const points: Point[] = samples.map((sample) => ({ x: sample.nodes, y: yOf(sample) }));
    series.push({ name, cause: 'node in the network', unit, points });
  };
  const seconds = MEASURE_MS / MS_PER_SECOND;
  add('at rest: bytes a node sends', 'B/s', ({ idle }) => idle.bytes / seconds);
  add('at rest: frames a node sends', '1/s', ({ idle }) => idle.frames / seconds);
  add('at rest: processor time of a node', 'ms/s', ({ idle }) => idle.processorMs / seconds);
  add('one change in force everywhere: bytes a node sends', 'B', ({ version }) => version.bytes);
  add('one change in force everywhere: processor time', 'ms', ({ version }) => version.processorMs);
  add('one shard taken: bytes a node sends', 'B', ({ shard }) => shard.bytes);
  add('one node leaving: bytes a node sends', 'B', ({ leaving }) => leaving.bytes);
  add('one node silent: bytes a node sends', 'B', ({ silent }) => silent.bytes);
  add('one node silent: all know after', 'ms', ({ knownAfterMs }) => knownAfterMs);
  report('membership', series);
}
