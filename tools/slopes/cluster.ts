/**
 * Clusters of real node processes with small stand-ins, on ports of their own.
 */
import { createHash } from 'node:crypto';
import { mkdirSync, writeFileSync } from 'node:fs';
import { request } from 'undici';
import { wait, createSystemClock } from '../../src/task/index.js';
import { clusterEnvironment, startProcess, waitUntil, type Process } from '../common/index.js';
import { readUsage, resolveRate, type MeasuredNode, type Rate } from './processes.js';

const FOLDER = 'out/slopes';
const HOST = '127.0.0.1';
const PLATFORM_PORT = 32_000;
const ENGINE_PORT = 32_100;
const SERVICE_PORT = 32_300;
const PEER_PORT = 32_400;
const CALLER_PORT = 32_500;
const OPERATOR_PORT = 32_600;
const ZONES = 3;
const READY_TIMEOUT_MS = 30_000;
/** Nodes that start at once. */
const BATCH = 10;
const TOKEN = clusterEnvironment.REEDTALLY_OPERATOR_TOKEN;

/** Model that all engines serve. */
export const MODEL = 'model-7b';
/** The plain service. */
export const SERVICE = 'registry';
/** API key of the team that asks. */
export const KEY = 'slopes-key';

/** What a cluster is made of. */
export interface ClusterSize {
  nodes: number;
  /** Engines that run; all are listed unless `setListed` says otherwise. */
  engines: number;
  /** Workers of the plain service. */
  services?: number;
  /** Settings of every node, over the defaults. */
  settings?: Record<string, unknown>;
}

/** A running cluster. */
export interface Cluster {
  nodes: MeasuredNode[];
  /** Addresses for callers. */
  callers: string[];
  /** Applies objects as one transaction through a node. */
  apply(objects: unknown[], node?: number): Promise<void>;
  /** Asks the operator front of a node. */
  query(node: number, path: string): Promise<unknown>;
  /** Starts more nodes, up to so many; resolves when all know each other. */
  grow(count: number): Promise<void>;
  /** Shows only the first so many engines in the platform's list. */
  listEngines(count: number): Promise<void>;
  /** Measures one node's rates over a time, as the mean of the first so many nodes. */
  measure(durationMs: number, first?: number): Promise<Rate>;
  stop(): Promise<void>;
}

const clock = createSystemClock();

/** Waits in real time. */
export function pause(delayMs: number): Promise<void> {
  return wait(clock, delayMs);
}

/**
 * Starts a cluster; resolves when every shard is held and all nodes know each other.
 *
 * @param size how many of what
 */
export async function startCluster(size: ClusterSize): Promise<Cluster> {
  mkdirSync(FOLDER, { recursive: true });
  const processes: Process[] = [];
  const nodes: (MeasuredNode & { index: number })[] = [];
  let listed = size.engines;
  const callers: string[] = [];

  async function startStandIns(name: string, standIns: unknown[]): Promise<void> {
    const file = write(name, { standIns });
    const args = ['dist/stand-ins/main.js', '--settings', file];
    processes.push(
      await startProcess({
        name,
        args,
        environment: clusterEnvironment,
        readyText: '"ready":true',
      }),
    );
  }

  async function startNode(index: number): Promise<void> {
    const name = nameOf(index);
    const file = write(name, createNodeSettings(index, size));
    const args = ['dist/src/cli/main.js', 'node', '--settings', file];
    const started = await startProcess({
      name,
      args,
      environment: clusterEnvironment,
      readyText: 'nodeStarted',
    });
    processes.push(started);
    nodes.push({ index, pid: started.pid, operator: `${HOST}:${OPERATOR_PORT + index}` });
    callers.push(`${HOST}:${CALLER_PORT + index}`);
  }

  async function query(node: number, path: string): Promise<unknown> {
    const answer = await request(`http://${nodes[node]?.operator ?? ''}${path}`, {
      headers: { authorization: `Bearer ${TOKEN}` },
    });
    return answer.body.json();
  }

  async function apply(objects: unknown[], node = 0): Promise<void> {
    const answer = await request(`http://${nodes[node]?.operator ?? ''}/v1/changes`, {
      method: 'POST',
      headers: { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' },
      body: JSON.stringify({ objects }),
    });
    const text = await answer.body.text();
    if (answer.statusCode >= 300) throw new Error(`not accepted: ${text}`);
  }

  async function isReady(): Promise<boolean> {
    const status = (await query(0, '/v1/status')) as {
      nodes: unknown[];
      shards: { servers: { free: number }[] }[];
    };
    let usable = 0;
    for (const { servers } of status.shards) {
      usable += servers.filter(({ free }) => free > 0).length;
    }
    return status.nodes.length === nodes.length && usable >= listed + (size.services ?? 0);
  }

  async function putList(): Promise<void> {
    const answer = await request(`http://${HOST}:${PLATFORM_PORT + 2}/-/vms`, {
      method: 'POST',
      body: JSON.stringify({ vms: createVms({ ...size, nodes: nodes.length, engines: listed }) }),
    });
    await answer.body.dump();
  }

  async function grow(count: number): Promise<void> {
    while (nodes.length < count) {
      const batch: Promise<void>[] = [];
      const until = Math.min(nodes.length + BATCH, count);
      for (let index = nodes.length; index < until; index++) {
        batch.push(startNode(index));
      }
      await Promise.all(batch);
    }
    nodes.sort((left, right) => left.index - right.index);
    callers.sort();
    await putList();
  }

  function waitUntilReady(): Promise<number> {
    return waitUntil('every shard held and every node known', READY_TIMEOUT_MS, isReady);
  }

  async function stop(): Promise<void> {
    await Promise.all(processes.map((started) => started.kill()));
  }

  try {
    await startStandIns('platform', createPlatformStandIns(size));
    const servers = [...createEngineStandIns(size), ...createServiceStandIns(size)];
    if (servers.length > 0) await startStandIns('servers', servers);
    await grow(size.nodes);
    await apply(createConfiguration());
    await waitUntilReady();
  } catch (error) {
    await stop();
    throw error;
  }
  return {
    nodes,
    callers,
    apply,
    query,
    async grow(count) {
      await grow(count);
      await waitUntilReady();
    },
    async listEngines(count) {
      listed = count;
      await putList();
      await waitUntilReady();
    },
    async measure(durationMs, first = nodes.length) {
      const measured = nodes.slice(0, first);
      const before = await readUsage(measured);
      await pause(durationMs);
      return resolveRate(before, await readUsage(measured));
    },
    stop,
  };
}

function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

function nameOf(index: number): string {
  return `entry-${index + 1}`;
}

function write(name: string, value: unknown): string {
  const file = `${FOLDER}/${name}.json`;
  writeFileSync(file, JSON.stringify(value));
  return file;
}

function zoneOf(index: number): string {
  return `zone-${index % ZONES}`;
}

function createNodeSettings(index: number, size: ClusterSize): unknown {
  return {
    node: nameOf(index),
    zone: zoneOf(index),
    listen: {
      caller: `${HOST}:${CALLER_PORT + index}`,
      operator: `${HOST}:${OPERATOR_PORT + index}`,
      peer: `${HOST}:${PEER_PORT + index}`,
    },
    platform: {
      tableService: `http://${HOST}:${PLATFORM_PORT}`,
      objectStore: `http://${HOST}:${PLATFORM_PORT + 1}`,
      vmList: `http://${HOST}:${PLATFORM_PORT + 2}`,
      weightStore: `http://${HOST}:${PLATFORM_PORT + 3}`,
    },
    secrets: {
      peerKey: { environment: 'REEDTALLY_PEER_KEY' },
      operatorToken: { environment: 'REEDTALLY_OPERATOR_TOKEN' },
    },
    ...size.settings,
  };
}

function createVms(size: ClusterSize): unknown[] {
  const vms: unknown[] = [];
  for (let index = 0; index < size.nodes; index++) {
    vms.push({
      id: nameOf(index),
      address: `${HOST}:${PEER_PORT + index}`,
      zone: zoneOf(index),
      kind: 'entry',
      service: 'reedtally',
      state: 'live',
      labels: {},
    });
  }
  for (let index = 0; index < size.engines; index++) {
    vms.push({
      id: `engine-${index + 1}`,
      address: `${HOST}:${ENGINE_PORT + index}`,
      zone: zoneOf(index),
      kind: 'model-engine',
      service: 'fleet',
      state: 'live',
      labels: { app: 'fleet' },
      checksFence: true,
    });
  }
  for (let index = 0; index < (size.services ?? 0); index++) {
    vms.push({
      id: `worker-${index + 1}`,
      address: `${HOST}:${SERVICE_PORT + index}`,
      zone: zoneOf(index),
      kind: 'plain-service',
      service: SERVICE,
      state: 'live',
      labels: { app: SERVICE },
    });
  }
  return vms;
}

function createPlatformStandIns(size: ClusterSize): unknown[] {
  const vms = createVms(size);
  return [
    { kind: 'table-service', listen: `${HOST}:${PLATFORM_PORT}` },
    { kind: 'object-store', listen: `${HOST}:${PLATFORM_PORT + 1}` },
    { kind: 'vm-list', listen: `${HOST}:${PLATFORM_PORT + 2}`, vms },
    { kind: 'weight-store', listen: `${HOST}:${PLATFORM_PORT + 3}`, ticketsPerSecond: 1 },
  ];
}

function createEngineStandIns(size: ClusterSize): unknown[] {
  const engines: unknown[] = [];
  for (let index = 0; index < size.engines; index++) {
    engines.push({
      kind: 'model-engine',
      id: `engine-${index + 1}`,
      listen: `${HOST}:${ENGINE_PORT + index}`,
      models: [MODEL],
      seed: index,
      model: { stepBaseMs: 4, perSequenceMs: 0, prefillTokensPerSecond: 1_000_000 },
    });
  }
  return engines;
}

function createServiceStandIns(size: ClusterSize): unknown[] {
  const services: unknown[] = [];
  for (let index = 0; index < (size.services ?? 0); index++) {
    const listen = `${HOST}:${SERVICE_PORT + index}`;
    services.push({ kind: 'plain-service', id: `worker-${index + 1}`, listen });
  }
  return services;
}

function createConfiguration(): unknown[] {
  return [
    { kind: 'team', name: 'asking', labels: { member: 'yes' }, keyHashes: [hashKey(KEY)] },
    { kind: 'class', name: 'short', firstTokenMs: 20_000, deadlineMs: 60_000 },
    {
      kind: 'group',
      name: 'fleet',
      selector: { matchLabels: { app: 'fleet' } },
      model: MODEL,
    },
    { kind: 'class', name: 'once', firstTokenMs: 5_000, repeatable: false },
    {
      kind: 'group',
      name: SERVICE,
      selector: { matchLabels: { app: SERVICE } },
      service: SERVICE,
    },
    { kind: 'binding', name: 'all', teams: {}, classes: {}, groups: {} },
  ];
}
