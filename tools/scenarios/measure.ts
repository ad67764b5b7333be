/**
 * `npm run scenarios -- --measure`: what coordination costs, as medians over repetitions with real
 * processes. Counts of reads and writes are the table stand-in's own.
 */
import { z } from 'zod';
import {
  listNodes,
  makeReady,
  resolveAddresses,
  resolvePlatform,
  startCluster,
  waitUntil,
  type Cluster,
  type ClusterPlan,
} from '../common/index.js';
import type { DemoRequest } from '../demo/requests.js';
import { readExample, type Example } from './load.js';
import { createAsked, createCallerAgent, sendOnce, type Asked } from './sending.js';

/** One figure, with its unit. */
export interface Figure {
  name: string;
  value: string;
}

const TAKEOVERS = 5;
const CHANGES = 15;
const IDLE_MS = 10_000;
const CALLS = 100;
const CLAIM_CALLERS = 32;
const CLAIM_MS = 4_000;
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 10;
const MS_PER_SECOND = 1_000;

const countsSchema = z.object({ counts: z.record(z.string(), z.number()) });

interface TableCounts {
  reads: number;
  writes: number;
}

/** A cluster that is measured. */
interface Bench {
  cluster: Cluster;
  example: Example;
  agent: ReturnType<typeof createCallerAgent>;
  serial: number;
}

/**
 * Measures everything.
 *
 * @param basePort first port to use
 * @param folder where settings go
 */
export async function measure(basePort: number, folder: string): Promise<Figure[]> {
  const figures: Figure[] = [];
  const nine = await createBench(createPlan(basePort, 9), folder);
  try {
    figures.push(...(await measureIdle(nine)));
    figures.push(await measureInForce(nine));
    figures.push(...(await measureRequests(nine)));
    figures.push(...(await measureClaims(nine)));
  } finally {
    await closeBench(nine);
  }
  const three = await createBench(createPlan(basePort, 3), folder);
  try {
    figures.push(await measureTakeover(three));
  } finally {
    await closeBench(three);
  }
  return figures;
}

function createPlan(basePort: number, nodes: number): ClusterPlan {
  const names: string[] = [];
  for (let number = 1; number <= nodes; number++) names.push(`entry-${number}`);
  const engines = ['reader-1', 'reader-2', 'reader-3'].map((id) => ({ id, checksFence: true }));
  const services = ['registry-1', 'registry-2', 'registry-3', 'registry-4'];
  return {
    basePort,
    zones: [{ zone: 'hann', nodes: names, engines, services }],
    engineService: 'log-reader',
    model: 'chamber-13b',
    plainService: 'registry',
    vmListLagMs: 500,
  };
}

async function createBench(plan: ClusterPlan, folder: string): Promise<Bench> {
  const example = readExample('association');
  const cluster = await startCluster({ plan, folder });
  await makeReady(cluster, example.objects);
  return { cluster, example, agent: createCallerAgent(), serial: 0 };
}

async function closeBench(bench: Bench): Promise<void> {
  await bench.cluster.stop();
  await bench.agent.destroy();
}

async function readCounts({ cluster }: Bench): Promise<TableCounts> {
  const { tableService } = resolvePlatform(cluster.plan);
  const answer = await cluster.control(tableService, 'GET', '/-/counts');
  const { counts } = countsSchema.parse(answer);
  const writes = counts['POST /v1/transactions'] ?? 0;
  return { reads: counts['GET /v1/rows'] ?? 0, writes };
}

async function measureIdle(bench: Bench): Promise<Figure[]> {
  const before = await readCounts(bench);
  await sleep(IDLE_MS);
  const after = await readCounts(bench);
  const seconds = IDLE_MS / MS_PER_SECOND;
  const reads = (after.reads - before.reads) / seconds;
  const writes = (after.writes - before.writes) / seconds;
  return [
    { name: 'table reads a second by 9 idle nodes', value: reads.toFixed(1) },
    { name: 'table writes a second by 9 idle nodes', value: writes.toFixed(1) },
  ];
}

async function measureInForce({ cluster }: Bench): Promise<Figure> {
  const times: number[] = [];
  const nodes = cluster.running();
  for (let turn = 0; turn < CHANGES; turn++) {
    const node = nodes[turn % nodes.length] ?? '';
    const answer = await cluster.operate(node, 'POST', '/v1/labels/vm/reader-1', {
      set: { shift: `turn-${turn}` },
    });
    const acceptedAt = performance.now();
    const { version } = z.object({ version: z.number() }).parse(answer.body);
    await Promise.all(nodes.map((one) => waitForVersion(cluster, one, version)));
    times.push(performance.now() - acceptedAt);
    await sleep(MS_PER_SECOND / 4);
  }
  return { name: 'change accepted to in force on 9 nodes', value: describeTimes(times) };
}

async function waitForVersion(cluster: Cluster, node: string, version: number): Promise<void> {
  while (((await cluster.status(node))?.configurationVersion ?? 0) < version) await sleep(POLL_MS);
}

async function measureRequests(bench: Bench): Promise<Figure[]> {
  const figures: Figure[] = [];
  const medians = new Map<string, number>();
  for (const kind of ['generation', 'repeatable-call', 'billed-call'] as const) {
    const before = await readCounts(bench);
    const startedAt = performance.now();
    const times: number[] = [];
    for (let turn = 0; turn < CALLS; turn++) times.push(await askOnce(bench, kind, turn));
    const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
    const after = await readCounts(bench);
    const idle = await countIdle(bench);
    const reads = (after.reads - before.reads - idle.reads * seconds) / CALLS;
    const writes = (after.writes - before.writes - idle.writes * seconds) / CALLS;
    const value = `${reads.toFixed(2)} reads, ${writes.toFixed(2)} writes`;
    figures.push({ name: `table use of one ${kind}, idle use taken off`, value });
    medians.set(kind, resolveMedian(times));
  }
  const added = (medians.get('billed-call') ?? 0) - (medians.get('repeatable-call') ?? 0);
  const billed = (medians.get('billed-call') ?? 0).toFixed(1);
  const open = (medians.get('repeatable-call') ?? 0).toFixed(1);
  const value = `${added.toFixed(1)} ms (${billed} ms with a claim, ${open} ms without; medians)`;
  figures.push({ name: `latency that a claim adds, ${CALLS} calls one by one`, value });
  return figures;
}

async function countIdle(bench: Bench): Promise<TableCounts> {
  const before = await readCounts(bench);
  await sleep(2 * MS_PER_SECOND);
  const after = await readCounts(bench);
  return { reads: (after.reads - before.reads) / 2, writes: (after.writes - before.writes) / 2 };
}

async function askOnce(bench: Bench, kind: Asked['kind'], turn: number): Promise<number> {
  const nodes = listNodes(bench.cluster.plan);
  const node = nodes[turn % nodes.length] ?? '';
  const asked = createRequest(bench, kind);
  const startedAt = performance.now();
  const { end, detail } = await send(bench, node, asked);
  if (end !== 'whole') throw new Error(`${kind} at ${node}: ${end} ${detail}`);
  return performance.now() - startedAt;
}

function send({ cluster, agent }: Bench, node: string, asked: Asked) {
  return sendOnce(agent, node, resolveAddresses(cluster.plan, node).caller, asked);
}

function createRequest(bench: Bench, kind: Asked['kind']): Asked {
  bench.serial += 1;
  for (const shipped of bench.example.requests) {
    const { isRepeatable, deadlineMs } = resolveClass(bench.example, shipped);
    const asked = createAsked(shipped, `measure-${bench.serial}`, isRepeatable, deadlineMs);
    if (asked.kind === kind) return asked;
  }
  throw new Error(`the example has no ${kind}`);
}

function resolveClass({ objects }: Example, shipped: DemoRequest) {
  for (const object of objects) {
    if (object.kind !== 'class' || object.name !== shipped.class) continue;
    return { isRepeatable: object.repeatable, deadlineMs: object.deadlineMs };
  }
  throw new Error(`the example has no class ${shipped.class}`);
}

async function measureClaims(bench: Bench): Promise<Figure[]> {
  const nodes = listNodes(bench.cluster.plan);
  const figures: Figure[] = [];
  for (const some of [nodes.slice(0, 1), nodes]) {
    const rate = await measureClaimRate(bench, some);
    const name = `claims a second through ${some.length} nodes, ${CLAIM_CALLERS} callers`;
    figures.push({ name, value: rate });
  }
  return figures;
}

async function measureClaimRate(bench: Bench, nodes: readonly string[]): Promise<string> {
  const before = await readCounts(bench);
  const startedAt = performance.now();
  let answered = 0;
  let others = 0;

  async function call(caller: number): Promise<void> {
    const node = nodes[caller % nodes.length] ?? '';
    while (performance.now() - startedAt < CLAIM_MS) {
      const { end } = await send(bench, node, createRequest(bench, 'billed-call'));
      if (end === 'whole') answered += 1;
      else others += 1;
    }
  }

  const callers: Promise<void>[] = [];
  for (let caller = 0; caller < CLAIM_CALLERS; caller++) callers.push(call(caller));
  await Promise.all(callers);
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  const after = await readCounts(bench);
  const writes = (after.writes - before.writes) / seconds;
  const rate = (answered / seconds).toFixed(0);
  return `${rate} (${writes.toFixed(0)} table writes a second; ${others} not answered)`;
}

async function measureTakeover(bench: Bench): Promise<Figure> {
  const { cluster } = bench;
  const times: number[] = [];
  for (let turn = 0; turn < TAKEOVERS; turn++) {
    const holder = await findHolder(cluster, 'registry-1');
    const other = cluster.running().find((node) => node !== holder) ?? '';
    const killedAt = performance.now();
    cluster.findNode(holder)?.signal('SIGKILL');
    for (;;) {
      const { end } = await send(bench, other, createRequest(bench, 'billed-call'));
      if (end === 'whole') break;
      await sleep(POLL_MS);
    }
    times.push(performance.now() - killedAt);
    await cluster.startNode(holder);
    await waitUntil(`${holder} ready`, READY_TIMEOUT_MS, async () => {
      const status = await cluster.status(holder);
      return status?.ready === true && status.lease.held;
    });
  }
  const name = "a holder's SIGKILL to the next billed call under a permit of its successor";
  return { name, value: describeTimes(times) };
}

async function findHolder(cluster: Cluster, server: string): Promise<string> {
  let found = '';
  await waitUntil(`a running holder of ${server}`, READY_TIMEOUT_MS, async () => {
    const running = cluster.running();
    for (const { holder, servers } of (await cluster.status(running[0] ?? ''))?.shards ?? []) {
      if (servers.some(({ id }) => id === server) && running.includes(holder)) found = holder;
    }
    return found !== '';
  });
  return found;
}

function describeTimes(times: readonly number[]): string {
  const sorted = [...times].sort((left, right) => left - right);
  const [least = 0] = sorted;
  const most = sorted.at(-1) ?? 0;
  const median = resolveMedian(times).toFixed(0);
  const range = `${least.toFixed(0)} to ${most.toFixed(0)} ms`;
  return `${median} ms (median of ${times.length}; ${range})`;
}

function resolveMedian(times: readonly number[]): number {
  const sorted = [...times].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
