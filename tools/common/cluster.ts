/**
 * A small cluster of real processes on one machine: stand-ins and nodes, started from generated
 * settings, with the questions that tools ask of them.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { request } from 'undici';
import { z } from 'zod';
import { nodeStatusSchema, type NodeStatus } from '../../src/operator/index.js';
import {
  listNodes,
  resolveAddresses,
  resolveNodeSettings,
  resolvePlatform,
  resolvePlatformSettings,
  resolveServerAddress,
  resolveServerSettings,
  resolveTableSettings,
  type ClusterPlan,
  type PlatformOrigins,
} from './layout.js';
import { startProcess, type Process } from './processes.js';

const COMMAND_LINE = 'dist/src/cli/main.js';
const STAND_INS = 'dist/stand-ins/main.js';
const POLL_MS = 50;
const QUERY_TIMEOUT_MS = 2_000;

/** Keys of the tools' clusters; a real deployment makes its own and keeps them secret. */
export const clusterEnvironment = {
  REEDTALLY_PEER_KEY: 'key-of-peers-for-tools-only',
  REEDTALLY_OPERATOR_TOKEN: 'token-of-operators-for-tools',
};

/** A running cluster. */
export interface Cluster {
  readonly plan: ClusterPlan;
  /** Starts a node, or starts it anew after it ended. */
  startNode(node: string): Promise<Process>;
  /** The process of a node, if it was started. */
  findNode(node: string): Process | undefined;
  /** The process of the table service. */
  table(): Process;
  /** The process of an availability zone's backend servers. */
  servers(zone: string): Process;
  /** Names of the nodes whose processes run. */
  running(): string[];
  /** What a node says of itself; `undefined` when it does not answer. */
  status(node: string): Promise<NodeStatus | undefined>;
  /** Asks a node's operator front. */
  operate(node: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<HttpAnswer>;
  /** Asks a stand-in's control path. */
  control(origin: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<unknown>;
  /** Origin of an engine's or a service worker's stand-in. */
  originOf(server: string): string;
  /** Stops everything; returns the exit codes of the nodes that still ran, by name. */
  stop(): Promise<Map<string, number>>;
}

/** How a cluster is started. */
export interface ClusterStart {
  plan: ClusterPlan;
  /** Where generated settings are written. */
  folder: string;
  /** Where a node finds the platform, if not at the stand-ins themselves. */
  platformOf?: (node: string) => PlatformOrigins;
  /** More settings of one node. */
  settingsOf?: (node: string) => Record<string, unknown>;
  /** Hears each line that a node logs. */
  onLine?: (node: string, line: string) => void;
}

/** An answer over HTTP. */
export interface HttpAnswer {
  status: number;
  body: unknown;
}

/**
 * Starts the stand-ins and all nodes.
 *
 * @param start what to start, and where
 */
export async function startCluster(start: ClusterStart): Promise<Cluster> {
  const { plan, folder } = start;
  const nodes = new Map<string, Process>();
  const standIns: Process[] = [];
  const servers = new Map<string, Process>();
  mkdirSync(folder, { recursive: true });

  function write(name: string, settings: unknown): string {
    const path = `${folder}/${name}.json`;
    writeFileSync(path, JSON.stringify(settings, null, 2));
    return path;
  }

  async function startStandIns(name: string, settings: unknown): Promise<Process> {
    const args = [STAND_INS, '--settings', write(name, settings)];
    const environment = clusterEnvironment;
    const started = await startProcess({ name, args, environment, readyText: '"ready":true' });
    standIns.push(started);
    return started;
  }

  async function startNode(node: string): Promise<Process> {
    const platform = start.platformOf?.(node) ?? resolvePlatform(plan);
    const settings = { ...resolveNodeSettings(plan, node, platform), ...start.settingsOf?.(node) };
    const started = await startProcess({
      name: node,
      args: [COMMAND_LINE, 'node', '--settings', write(node, settings)],
      environment: clusterEnvironment,
      readyText: 'nodeStarted',
      onLine: (line) => start.onLine?.(node, line),
    });
    nodes.set(node, started);
    return started;
  }

  async function operate(
    node: string,
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<HttpAnswer> {
    const answer = await request(`http://${resolveAddresses(plan, node).operator}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${clusterEnvironment.REEDTALLY_OPERATOR_TOKEN}`,
        'content-type': 'application/json',
      },
      body: body === undefined ? null : JSON.stringify(body),
      headersTimeout: QUERY_TIMEOUT_MS,
    });
    return { status: answer.statusCode, body: parseJson(await answer.body.text()) };
  }

  async function status(node: string): Promise<NodeStatus | undefined> {
    try {
      const answer = await request(`http://${resolveAddresses(plan, node).operator}/v1/status`, {
        headers: { authorization: `Bearer ${clusterEnvironment.REEDTALLY_OPERATOR_TOKEN}` },
        headersTimeout: QUERY_TIMEOUT_MS,
        bodyTimeout: QUERY_TIMEOUT_MS,
      });
      return nodeStatusSchema.safeParse(await answer.body.json()).data;
    } catch {
      return undefined;
    }
  }

  async function stop(): Promise<Map<string, number>> {
    for (const process of [...nodes.values(), ...standIns]) process.signal('SIGCONT');
    const codes = new Map<string, number>();
    const stops: Promise<void>[] = [];
    for (const [node, process] of nodes) {
      if (!process.isRunning()) continue;
      stops.push(process.stop().then((code) => void codes.set(node, code)));
    }
    await Promise.all(stops);
    await Promise.all(standIns.map((process) => process.stop()));
    return codes;
  }

  function find(process: Process | undefined, name: string): Process {
    if (process === undefined) throw new Error(`${name} was not started`);
    return process;
  }

  try {
    const [table] = await Promise.all([
      startStandIns('table', resolveTableSettings(plan)),
      startStandIns('platform', resolvePlatformSettings(plan)),
    ]);
    for (const zone of plan.zones) {
      const settings = resolveServerSettings(plan, zone);
      if (settings.standIns.length === 0) continue;
      servers.set(zone.zone, await startStandIns(`servers-${zone.zone}`, settings));
    }
    await Promise.all(listNodes(plan).map(startNode));

    return {
      plan,
      startNode,
      findNode: (node) => nodes.get(node),
      table: () => table,
      servers: (zone) => find(servers.get(zone), `the backend servers of ${zone}`),
      running: () => listNodes(plan).filter((node) => nodes.get(node)?.isRunning() === true),
      status,
      operate,
      control,
      originOf: (server) => `http://${resolveServerAddress(plan, server)}`,
      stop,
    };
  } catch (error) {
    await stop();
    throw error;
  }
}

/** Asks a stand-in's control path; rejects unless it answers well. */
async function control(
  origin: string,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
): Promise<unknown> {
  const answer = await request(`${origin}${path}`, {
    method,
    headers: { 'content-type': 'application/json' },
    body: body === undefined ? null : JSON.stringify(body),
  });
  const text = await answer.body.text();
  if (answer.statusCode >= 300) throw new Error(`${origin}${path}: ${answer.statusCode} ${text}`);
  return parseJson(text);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}

/**
 * Waits until something is true; rejects when it is not in time.
 *
 * @param what names it in the error
 * @param timeoutMs how long to wait
 * @param check looks once
 * @returns how long it took, in milliseconds
 */
export async function waitUntil(
  what: string,
  timeoutMs: number,
  check: () => Promise<boolean>,
): Promise<number> {
  const startedAt = performance.now();
  while (!(await check())) {
    if (performance.now() - startedAt > timeoutMs) {
      throw new Error(`${what}: not within ${timeoutMs} ms`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  return performance.now() - startedAt;
}

const acceptedSchema = z.object({ version: z.number().int() });

/**
 * Applies a configuration file and waits until it is in force on every running node and every shard
 * has a holder that knows its servers.
 *
 * @param cluster the cluster
 * @param objects the configuration's objects
 * @param timeoutMs how long all of it may take
 */
export async function makeReady(
  cluster: Cluster,
  objects: unknown,
  timeoutMs = 20_000,
): Promise<void> {
  const [first = ''] = cluster.running();
  const answer = await cluster.operate(first, 'POST', '/v1/changes', { objects });
  const accepted = acceptedSchema.safeParse(answer.body);
  if (!accepted.success) throw new Error(`apply: ${JSON.stringify(answer.body)}`);
  try {
    await waitUntil('configuration in force and shards held', timeoutMs, () =>
      isReady(cluster, accepted.data.version),
    );
  } catch (error) {
    throw new Error(`${String(error)}: ${await describeCluster(cluster)}`, { cause: error });
  }
}

/** What each node says of itself and of shards, in one line. */
async function describeCluster(cluster: Cluster): Promise<string> {
  const lines: string[] = [];
  for (const node of cluster.running()) {
    const status = await cluster.status(node);
    const { ready, configurationVersion, shards } = status ?? {};
    lines.push(JSON.stringify({ node, ready, configurationVersion, shards }));
  }
  return lines.join(' ');
}

async function isReady(cluster: Cluster, version: number): Promise<boolean> {
  for (const node of cluster.running()) {
    const status = await cluster.status(node);
    if (status?.ready !== true || status.configurationVersion < version) return false;
    const free = status.shards.filter((shard) => shard.servers.some((server) => server.free > 0));
    const kinds = new Set(cluster.plan.zones.flatMap(kindsOf));
    if (free.length < kinds.size) return false;
  }
  return true;
}

function kindsOf(zone: ClusterPlan['zones'][number]): string[] {
  const kinds: string[] = [];
  if (zone.engines.length > 0) kinds.push('engines');
  if (zone.services.length > 0) kinds.push('services');
  return kinds;
}
