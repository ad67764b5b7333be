/**
 * Slopes from real processes: nodes and engines that idle, and teams and changes of configuration.
 */
import { pause, startCluster, type Cluster, type ClusterSize } from './cluster.js';
import { largeTerms } from './measure-membership.js';
import type { Rate } from './processes.js';
import { report, say, type Series } from './report.js';

/** A process that has just started still compiles its own code. */
const WARM_MS = 15_000;
const SETTLE_MS = 3_000;
const MEASURE_MS = 5_000;
const NODE_COUNTS = [3, 9, 20, 40];
const ENGINE_COUNTS = [0, 48, 96, 144, 192];
const FEW_NODES = 3;
const TEAM_COUNTS = [500, 2_000, 4_000, 6_000];
const TEAMS_PER_WRITE = 250;
const CHANGES_PER_SECOND = [0, 1, 2, 4, 8];
const CHANGE_MEASURE_MS = 4_000;
const MS_PER_SECOND = 1_000;

interface Sample {
  x: number;
  rate: Rate;
}

const idleColumns: [keyof Rate, string, string][] = [
  ['processorMs', 'processor time of a node', 'ms/s'],
  ['residentMb', 'resident memory of a node', 'MB'],
  ['peerBytes', 'bytes a node sends to peers', 'B/s'],
  ['tableReads', 'table reads of a node', '1/s'],
  ['tableWrites', 'table writes of a node', '1/s'],
];

function createSeries(cause: string, samples: readonly Sample[]): Series[] {
  const series: Series[] = [];
  for (const [column, name, unit] of idleColumns) {
    const points = samples.map(({ x, rate }) => ({ x, y: rate[column] }));
    series.push({ name, cause, unit, points });
  }
  return series;
}

async function withCluster<Value>(
  size: ClusterSize,
  use: (cluster: Cluster) => Promise<Value>,
): Promise<Value> {
  const cluster = await startCluster(size);
  try {
    return await use(cluster);
  } finally {
    await cluster.stop();
  }
}

/** Ever more nodes without engines, measured at the first three: the cost that goes by nodes. */
export function measureNodes(): Promise<void> {
  return measureNodesWith('nodes', {});
}

/** The same with the settings that the page proposes for hundreds of nodes. */
export function measureLargeNodes(): Promise<void> {
  return measureNodesWith('large', {
    membership: largeTerms,
    lease: { renewEveryMs: 3_000, holderMs: 10_000, takerMs: 14_000 },
    configuration: { followEveryMs: 20_000 },
    shards: { watchEveryMs: 1_000 },
  });
}

async function measureNodesWith(part: string, settings: Record<string, unknown>): Promise<void> {
  await withCluster({ nodes: FEW_NODES, engines: 0, settings }, async (cluster) => {
    await pause(WARM_MS);
    const samples: Sample[] = [];
    for (const count of NODE_COUNTS) {
      say(`idle cluster of ${count} nodes`);
      await cluster.grow(count);
      await pause(SETTLE_MS);
      samples.push({ x: count, rate: await cluster.measure(MEASURE_MS, FEW_NODES) });
    }
    report(part, createSeries('node in the cluster', samples));
  });
}

/** Three nodes with ever more engines, without work: the control cost of holding them. */
export async function measureEngines(): Promise<void> {
  const engines = Math.max(...ENGINE_COUNTS);
  await withCluster({ nodes: FEW_NODES, engines }, async (cluster) => {
    await cluster.listEngines(0);
    await pause(WARM_MS);
    const samples: Sample[] = [];
    for (const count of ENGINE_COUNTS) {
      say(`${FEW_NODES} idle nodes with ${count} engines`);
      await cluster.listEngines(count);
      await pause(SETTLE_MS);
      samples.push({ x: count / FEW_NODES, rate: await cluster.measure(MEASURE_MS) });
    }
    report('engines', createSeries('engine held by the node', samples));
  });
}

function createTeam(index: number, revision: number): unknown {
  const labels = { member: 'yes', size: 'small', revision: String(revision) };
  const keyHashes = [index.toString(16).padStart(64, '0')];
  return { kind: 'team', name: `team-${index}`, labels, keyHashes };
}

async function growTeams(cluster: Cluster, from: number, to: number): Promise<void> {
  for (let first = from; first < to; first += TEAMS_PER_WRITE) {
    const teams: unknown[] = [];
    for (let index = first; index < Math.min(to, first + TEAMS_PER_WRITE); index++) {
      teams.push(createTeam(index, 0));
    }
    await cluster.apply(teams);
  }
}

async function changeTeams(cluster: Cluster, perSecond: number, forMs: number): Promise<void> {
  const count = Math.round((perSecond * forMs) / MS_PER_SECOND);
  for (let index = 0; index < count; index++) {
    await cluster.apply([createTeam(index, perSecond)], index % FEW_NODES);
    await pause(MS_PER_SECOND / perSecond - 1);
  }
}

/** Three nodes with ever more teams, and then ever more changes a second. */
export async function measureConfiguration(): Promise<void> {
  await withCluster({ nodes: FEW_NODES, engines: 0 }, async (cluster) => {
    const teams: Sample[] = [];
    let known = 0;
    for (const count of TEAM_COUNTS) {
      say(`${count} teams`);
      await growTeams(cluster, known, count);
      known = count;
      await pause(SETTLE_MS);
      teams.push({ x: count, rate: await cluster.measure(CHANGE_MEASURE_MS) });
    }
    report('teams', createSeries('team', teams));
    const changes: Sample[] = [];
    for (const perSecond of CHANGES_PER_SECOND) {
      say(`${perSecond} changes a second`);
      const measured = cluster.measure(CHANGE_MEASURE_MS);
      await changeTeams(cluster, perSecond, CHANGE_MEASURE_MS);
      changes.push({ x: perSecond, rate: await measured });
    }
    report('changes', createSeries('change a second, at 6,000 teams on 3 nodes', changes));
  });
}
