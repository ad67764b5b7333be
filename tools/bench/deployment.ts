/**
 * One deployment as real processes: stand-ins for the platform, engines and workers, and the nodes,
 * each with the settings of one policy. Every deployment has ports of its own.
 */
import { createHash } from 'node:crypto';
import { mkdirSync, writeFileSync } from 'node:fs';
import { request } from 'undici';
import type { ConfigurationObject } from '../../src/configuration/index.js';
import { startProcess, type Process } from '../common/processes.js';
import { listTeams } from './arrivals.js';
import { apiKeyOf } from './generator.js';
import type { Policy } from './policies.js';
import type { ClassTimes, Deployment, Experiment } from './settings.js';

/** A node's addresses. */
export interface BenchNode {
  name: string;
  caller: string;
  operator: string;
  process: Process;
}

/** A running deployment. */
export interface RunningDeployment {
  nodes: BenchNode[];
  /** Addresses of the engines' stand-ins. */
  engines: string[];
  table: string;
  /** Processes of stand-ins, for their processor time. */
  standIns: Process[];
  /** The shards as the first node sees them. */
  readShards(): Promise<ShardStatus[]>;
  stop(): Promise<void>;
}

/** What a node says of a shard. */
export interface ShardStatus {
  holder: string;
  servers: { id: string; free: number }[];
}

/** Which deployment is started. */
export interface DeploymentStart {
  experiment: Experiment;
  policy: Policy;
  /** The first of its ports. */
  basePort: number;
  /** Where settings files go. */
  folder: string;
  /** Weight between goodput and role changes, in place of the deployment's. */
  changeCost: number;
}

const HOST = '127.0.0.1';
const READY_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 100;
/** Offsets of ports within a deployment. */
const ENGINE_PORTS = 10;
const WORKER_PORTS = 30;
const NODE_PORTS = 40;
const PORTS_PER_NODE = 3;

/** Keys of experiments, which guard nothing. */
const environment = {
  REEDTALLY_PEER_KEY: 'experiment-peer-key-0000',
  REEDTALLY_OPERATOR_TOKEN: 'experiment-operator-token-0000',
};

/**
 * Starts a deployment, applies its configuration, and waits until every shard has a holder that
 * knows its servers.
 *
 * @param start what to start
 */
export async function startDeployment(start: DeploymentStart): Promise<RunningDeployment> {
  const started: Process[] = [];
  mkdirSync(start.folder, { recursive: true });
  try {
    return await startAll(start, started);
  } catch (error) {
    await stopAll(started);
    throw error;
  }
}

async function startAll(start: DeploymentStart, started: Process[]): Promise<RunningDeployment> {
  const { deployment } = start.experiment;
  const standIns = await startStandIns(start, started);
  const nodes = await startNodes(start, started);
  const first = nodes[0];
  if (first === undefined) throw new Error('a deployment needs a node');
  await waitForNodes(first.operator, deployment.nodes);
  await applyConfiguration(start, first.operator);
  await waitForShards(first.operator, deployment.engines.count + deployment.workers.count);
  return {
    nodes,
    standIns,
    engines: listEngines(start).map(({ listen }) => listen),
    table: addressAt(start, 0),
    readShards: () => readShards(first.operator),
    stop: () => stopAll(started),
  };
}

async function stopAll(started: readonly Process[]): Promise<void> {
  await Promise.all(started.map((process) => process.kill()));
}

function addressAt(start: DeploymentStart, offset: number): string {
  return `${HOST}:${start.basePort + offset}`;
}

function zoneOf({ zones }: Deployment, index: number): string {
  return zones[index % zones.length] ?? '';
}

function listEngines(start: DeploymentStart) {
  const { deployment, times } = start.experiment;
  const engines = [];
  for (let index = 0; index < deployment.engines.count; index++) {
    engines.push({
      kind: 'model-engine' as const,
      id: `engine-${index + 1}`,
      listen: addressAt(start, ENGINE_PORTS + index),
      models: [deployment.model],
      seed: index + 1,
      model: times.model,
    });
  }
  return engines;
}

function listWorkers(start: DeploymentStart) {
  const { deployment, times } = start.experiment;
  const workers = [];
  for (let index = 0; index < deployment.workers.count; index++) {
    workers.push({
      kind: 'plain-service' as const,
      id: `worker-${index + 1}`,
      listen: addressAt(start, WORKER_PORTS + index),
      seed: index + 1,
      ...times.service,
    });
  }
  return workers;
}

function listVms(start: DeploymentStart) {
  const { deployment } = start.experiment;
  const vms = [];
  const common = { state: 'live' as const, checksFence: true };
  for (const [index, { id, listen }] of listEngines(start).entries()) {
    const { service } = deployment.engines;
    const labels = { app: service };
    const zone = zoneOf(deployment, index);
    vms.push({ ...common, id, address: listen, zone, kind: 'model-engine', service, labels });
  }
  for (const [index, { id, listen }] of listWorkers(start).entries()) {
    const { service } = deployment.workers;
    const labels = { app: service };
    const zone = zoneOf(deployment, index);
    vms.push({ ...common, id, address: listen, zone, kind: 'plain-service', service, labels });
  }
  for (let index = 0; index < deployment.nodes; index++) {
    const { node, zone, listen } = nodeSettings(start, index);
    const entry = { kind: 'entry', service: 'reedtally', labels: {} };
    vms.push({ ...common, id: node, address: listen.peer, zone, ...entry });
  }
  return vms;
}

async function startStandIns(start: DeploymentStart, started: Process[]): Promise<Process[]> {
  const platform = [
    { kind: 'table-service', listen: addressAt(start, 0) },
    { kind: 'object-store', listen: addressAt(start, 1) },
    { kind: 'weight-store', listen: addressAt(start, 2), ticketsPerSecond: 1 },
    { kind: 'vm-list', listen: addressAt(start, 3), lagMs: 500, vms: listVms(start) },
  ];
  const groups: { name: string; standIns: unknown[] }[] = [
    { name: 'platform', standIns: platform },
    { name: 'workers', standIns: listWorkers(start) },
  ];
  const engines = listEngines(start);
  const { perProcess } = start.experiment.deployment.engines;
  for (let first = 0; first < engines.length; first += perProcess) {
    const standIns = engines.slice(first, first + perProcess);
    groups.push({ name: `engines-${first / perProcess + 1}`, standIns });
  }
  const processes: Process[] = [];
  for (const { name, standIns } of groups) {
    const file = write(start, `${name}.json`, { standIns });
    const args = ['dist/stand-ins/main.js', '--settings', file];
    const process = await startProcess({ name, args, environment, readyText: '"ready":true' });
    started.push(process);
    processes.push(process);
  }
  return processes;
}

function nodeSettings(start: DeploymentStart, index: number) {
  const port = NODE_PORTS + index * PORTS_PER_NODE;
  return {
    node: `entry-${index + 1}`,
    zone: zoneOf(start.experiment.deployment, index),
    listen: {
      caller: addressAt(start, port),
      operator: addressAt(start, port + 1),
      peer: addressAt(start, port + 2),
    },
    platform: {
      tableService: `http://${addressAt(start, 0)}`,
      objectStore: `http://${addressAt(start, 1)}`,
      weightStore: `http://${addressAt(start, 2)}`,
      vmList: `http://${addressAt(start, 3)}`,
    },
    secrets: {
      peerKey: { environment: 'REEDTALLY_PEER_KEY' },
      operatorToken: { environment: 'REEDTALLY_OPERATOR_TOKEN' },
    },
    decisions: start.policy.decisions,
  };
}

async function startNodes(start: DeploymentStart, started: Process[]): Promise<BenchNode[]> {
  const starting: Promise<BenchNode>[] = [];
  for (let index = 0; index < start.experiment.deployment.nodes; index++) {
    starting.push(startNode(start, index, started));
  }
  return Promise.all(starting);
}

async function startNode(
  start: DeploymentStart,
  index: number,
  started: Process[],
): Promise<BenchNode> {
  const settings = nodeSettings(start, index);
  const name = settings.node;
  const file = write(start, `${name}.json`, settings);
  const args = ['dist/src/cli/main.js', 'node', '--settings', file];
  const process = await startProcess({ name, args, environment, readyText: 'nodeStarted' });
  started.push(process);
  const { caller, operator } = settings.listen;
  return { name, caller, operator, process };
}

function write(start: DeploymentStart, name: string, content: unknown): string {
  const file = `${start.folder}/${name}`;
  writeFileSync(file, JSON.stringify(content, undefined, 2));
  return file;
}

async function applyConfiguration(start: DeploymentStart, operator: string): Promise<void> {
  const file = write(start, 'configuration.json', { objects: createObjects(start) });
  const args = ['dist/src/cli/main.js', 'apply', '-f', file, '--operator', `http://${operator}`];
  const { nodes } = start.experiment.deployment;
  const readyText = `in force on ${nodes} of ${nodes} nodes`;
  const apply = await startProcess({ name: 'apply', args, environment, readyText });
  await apply.stop();
}

function createObjects(start: DeploymentStart): Partial<ConfigurationObject>[] {
  const { deployment } = start.experiment;
  const { engines, workers, classes, model } = deployment;
  const objects: Partial<ConfigurationObject>[] = [];
  for (const { name, weight } of listTeams(deployment)) {
    const hash = createHash('sha256').update(apiKeyOf(name)).digest('hex');
    objects.push({ kind: 'team', name, weight, keyHashes: [hash] });
  }
  objects.push(
    createClass('verdict', 'generation', classes.verdict),
    createClass('worked-answer', 'generation', classes.workedAnswer),
    { ...createClass('service-call', 'call', classes.serviceCall), repeatable: false },
    {
      kind: 'group',
      name: 'engines',
      labels: { use: 'generation' },
      selector: selectApp(engines.service),
      model,
      roles: { changeCost: start.changeCost, horizonMs: 5_000, maxAtOnce: 1 },
    },
    {
      kind: 'group',
      name: 'workers',
      labels: { use: 'call' },
      selector: selectApp(workers.service),
      service: workers.service,
    },
    createBinding('generation'),
    createBinding('call'),
  );
  return objects;
}

function createClass(name: string, use: string, times: ClassTimes): Partial<ConfigurationObject> {
  return { kind: 'class', name, labels: { use }, ...times };
}

function selectApp(app: string) {
  return { matchLabels: { app }, matchExpressions: [] };
}

function createBinding(use: string): Partial<ConfigurationObject> {
  const selector = { matchLabels: { use }, matchExpressions: [] };
  const everyone = { matchLabels: {}, matchExpressions: [] };
  return { kind: 'binding', name: use, teams: everyone, classes: selector, groups: selector };
}

/** Waits until the holders know as many servers with free places as there are. */
async function waitForShards(operator: string, servers: number): Promise<void> {
  const until = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < until) {
    let ready = 0;
    for (const shard of await readShards(operator)) {
      ready += shard.servers.filter(({ free }) => free > 0).length;
    }
    if (ready >= servers) return;
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
  throw new Error('no holder took the backend servers in time; see the log of the nodes');
}

/** Waits until a node knows all nodes, so that a change is in force only when all have it. */
async function waitForNodes(operator: string, nodes: number): Promise<void> {
  const until = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < until) {
    const status = await readStatus(operator);
    if (status.nodes.length >= nodes) return;
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
  throw new Error('the nodes did not find each other in time; see their log');
}

async function readShards(operator: string): Promise<ShardStatus[]> {
  const { shards } = await readStatus(operator);
  return shards;
}

/** What a node says of itself, as far as it is read here. */
interface StatusAnswer {
  nodes: unknown[];
  shards: ShardStatus[];
}

async function readStatus(operator: string): Promise<StatusAnswer> {
  const answer = await request(`http://${operator}/v1/status`, {
    headers: { authorization: `Bearer ${environment.REEDTALLY_OPERATOR_TOKEN}` },
  });
  return (await answer.body.json()) as StatusAnswer;
}
