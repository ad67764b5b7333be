/**
 * Slopes of decisions and codecs, measured in this process without I/O.
 */
import { Packr } from 'msgpackr';
import {
  applyChange,
  createSnapshot,
  isMember,
  resolveRoute,
  storedObjectSchema,
  type Change,
  type ConfigurationSnapshot,
  type EngineGroup,
} from '../../src/configuration/index.js';
import {
  decodeFrame,
  encodeFrame,
  type Frame,
  type NodeState,
  type PermitQuery,
} from '../../src/links/index.js';
import { choosePeers } from '../../src/gossip/index.js';
import { createView } from '../../src/membership/index.js';
import { createMetrics } from '../../src/metrics/index.js';
import { createShardHolder } from '../../src/permits/index.js';
import { vmsSchema, type Vm } from '../../src/ports/index.js';
import { settingsSchema } from '../../src/settings/index.js';
import { rankNodes, resolveShards } from '../../src/shards/index.js';
import { createSystemClock } from '../../src/task/index.js';
import type { Point } from './fit.js';
import { createState } from './network.js';
import { report, say, type Series } from './report.js';

const MIN_MS = 150;
const MICROSECONDS_PER_MS = 1_000;
const BYTES_PER_MB = 1_048_576;
const TEAM_COUNTS = [500, 1_500, 3_000, 6_000];
const NODE_COUNTS = [9, 50, 200, 410];
const SERVER_COUNTS = [200, 800, 1_600, 3_100];
const WAITING_COUNTS = [10, 100, 500, 1_500];
const MODELS = 29;
const ZONES = 9;
const SHARD_SERVERS = 16;

/** Mean time of one call, in microseconds. */
function time(call: () => unknown): number {
  for (let index = 0; index < 3; index++) call();
  let calls = 0;
  const startedAt = performance.now();
  let takenMs = 0;
  while (takenMs < MIN_MS) {
    call();
    calls += 1;
    takenMs = performance.now() - startedAt;
  }
  return (takenMs * MICROSECONDS_PER_MS) / calls;
}

function measure<Input>(
  counts: readonly number[],
  prepare: (count: number) => Input,
  call: (input: Input) => unknown,
): Point[] {
  const points: Point[] = [];
  for (const count of counts) {
    const input = prepare(count);
    points.push({ x: count, y: time(() => call(input)) });
  }
  return points;
}

function createChanges(teams: number): Change[] {
  const objects: unknown[] = [
    { kind: 'class', name: 'short', labels: { use: 'chat' } },
    { kind: 'binding', name: 'all', teams: {}, classes: {}, groups: {} },
  ];
  for (let index = 0; index < MODELS; index++) {
    const selector = { matchLabels: { app: `model-${index}` } };
    objects.push({ kind: 'group', name: `group-${index}`, selector, model: `model-${index}` });
  }
  for (let index = 0; index < teams; index++) {
    const keyHashes = [index.toString(16).padStart(64, '0')];
    const labels = { member: 'yes', size: 'small' };
    objects.push({ kind: 'team', name: `team-${index}`, labels, keyHashes });
  }
  const changes: Change[] = [];
  for (const [index, input] of objects.entries()) {
    const object = storedObjectSchema.parse(input);
    const { kind, name } = object;
    const version = index + 1;
    changes.push({ version, kind, name, author: 'ama', attempt: 'first', object });
  }
  return changes;
}

function prepareSnapshot(teams: number): ConfigurationSnapshot {
  const changes = createChanges(teams);
  return createSnapshot(changes, changes.length);
}

/** A change that follows a snapshot, of one team. */
function createNext(snapshot: ConfigurationSnapshot): Change {
  const team = snapshot.changes.get('team/team-1');
  if (team === undefined) throw new Error('no team');
  return { ...team, version: snapshot.version + 1 };
}

function createVms(servers: number): Vm[] {
  const vms: unknown[] = [];
  for (let index = 0; index < servers; index++) {
    const model = `model-${index % MODELS}`;
    vms.push({
      id: `engine-${index}`,
      address: `10.30.${Math.floor(index / 250)}.${index % 250}:8000`,
      zone: `zone-${index % ZONES}`,
      kind: 'model-engine',
      service: model,
      state: 'live',
      labels: { app: model, zone: `zone-${index % ZONES}`, rack: `rack-${index % 97}` },
      checksFence: true,
    });
  }
  return vmsSchema.parse({ vms }).vms;
}

function createPermitQuery(index: number): PermitQuery {
  return {
    kind: 'permit.request',
    shard: 'model-0.zone-0.0',
    requestId: `entry-1~${index}`,
    attempt: 1,
    configurationVersion: 1,
    group: 'group-0',
    team: `team-${index % 50}`,
    class: 'short',
    weight: 1,
    priority: 5,
    firstTokenInMs: 1e9,
    deadlineInMs: 1e9,
    promptTokens: 400,
    expectedOutputTokens: 128,
    prefixes: ['aaaaaaaaaaaaaaaa', 'bbbbbbbbbbbbbbbb', 'cccccccccccccccc', 'dddddddddddddddd'],
    model: 'model-0',
    repeatable: true,
    avoid: [],
  };
}

/** A holder of one full shard with so many requests waiting. */
function prepareHolder(waiting: number) {
  const metrics = createMetrics();
  const vms = createVms(SHARD_SERVERS * MODELS).filter(({ service }) => service === 'model-0');
  const holder = createShardHolder({
    shard: 'model-0.zone-0.0',
    node: 'entry-1',
    fence: 1,
    kind: 'model-engine',
    clock: { ...createSystemClock(), after: () => ({ cancel: () => undefined }) },
    metrics,
    decisions: settingsSchema.shape.decisions.parse({}),
    maxQueue: 1e6,
    createId: () => 'permit-0',
    isLeaseValid: () => true,
    isMember: () => true,
    isWithdrawn: () => false,
  });
  holder.setVms(vms);
  for (const { id } of vms) {
    holder.updateEngine({
      id,
      incarnation: 'one',
      role: 'mixed',
      models: ['model-0'],
      adapters: [],
      busy: false,
      leaving: false,
      lastOrderId: null,
      fence: 1,
      maxBatch: 1,
      kvTokensTotal: 100_000,
      prefillTokensPerSecond: 1e9,
      decodeTokensPerSecond: 1e9,
    });
  }
  for (let index = 0; index < waiting + SHARD_SERVERS; index++) {
    void holder.ask('entry-2', createPermitQuery(index));
  }
  return holder;
}

function createStates(nodes: number): NodeState[] {
  const states: NodeState[] = [];
  for (let index = 0; index < nodes; index++) states.push({ ...createState(index), sequence: 1 });
  return states;
}

function prepareView(nodes: number) {
  const view = createView();
  for (const state of createStates(nodes)) view.learn(state);
  return view;
}

function createNewsFrame(nodes: number): Frame {
  const states = createStates(nodes);
  return {
    type: 'notice',
    notice: { kind: 'news', states, suspicions: [], reached: [], shards: [] },
  };
}

function createHeartbeatFrame(): Frame {
  return {
    type: 'notice',
    notice: {
      kind: 'heartbeat',
      incarnation: createState(1).incarnation,
      sequence: 1_000,
      configurationVersion: 7_300,
      inFlight: 12,
      chosen: true,
      isStranger: false,
      shards: [],
    },
  };
}

/** How many copies of one frame are handled; the slope is the cost of one. */
const FRAME_COUNTS = [1, 10, 100, 1_000];

function measureFrames(name: string, frame: Frame): Series[] {
  const bytes = encodeFrame(frame);
  const packr = new Packr({ useRecords: false });
  const repeat = (call: () => unknown) =>
    measure(
      FRAME_COUNTS,
      (count) => count,
      (count) => {
        for (let index = 0; index < count; index++) call();
      },
    );
  say(`${name} frame: ${bytes.length} bytes`);
  const cause = 'frame';
  const unit = 'µs';
  return [
    { name: `${name}: encode`, cause, unit, points: repeat(() => encodeFrame(frame)) },
    { name: `${name}: decode and check`, cause, unit, points: repeat(() => decodeFrame(bytes)) },
    { name: `${name}: decode alone`, cause, unit, points: repeat(() => packr.unpack(bytes)) },
  ];
}

function measureConfigurations(): Series[] {
  const cause = 'team';
  const unit = 'µs';
  const query = { team: 'team-1', class: 'short', target: { model: 'model-1' } };
  return [
    {
      name: 'apply one change',
      cause,
      unit,
      points: measure(TEAM_COUNTS, prepareSnapshot, (snapshot) =>
        applyChange(snapshot, createNext(snapshot)),
      ),
    },
    {
      name: 'resolve a route the first time',
      cause,
      unit,
      points: measure(TEAM_COUNTS, prepareSnapshot, (snapshot) =>
        resolveRoute({ ...snapshot }, query, 'entry-1'),
      ),
    },
    {
      name: 'resolve a route again',
      cause,
      unit,
      points: measure(TEAM_COUNTS, prepareSnapshot, (snapshot) =>
        resolveRoute(snapshot, query, 'entry-1'),
      ),
    },
    { name: 'memory of a configuration', cause, unit: 'MB', points: measureHeap(TEAM_COUNTS) },
  ];
}

/** Heap that one configuration takes, in MB; needs `--expose-gc`. */
function measureHeap(counts: readonly number[]): Point[] {
  const collect = globalThis.gc ?? (() => undefined);
  const points: Point[] = [];
  for (const count of counts) {
    collect();
    const before = process.memoryUsage().heapUsed;
    const kept = prepareSnapshot(count);
    collect();
    const y = (process.memoryUsage().heapUsed - before) / BYTES_PER_MB;
    points.push({ x: kept.teams.size, y });
  }
  return points;
}

function measureFleets(): Series[] {
  const cause = 'backend server';
  const unit = 'µs';
  const snapshot = prepareSnapshot(1);
  const group = snapshot.groups.get('group-1');
  if (group === undefined) throw new Error('no group');
  const terms = { maxServers: SHARD_SERVERS };
  return [
    {
      name: 'read the list of VMs',
      cause,
      unit,
      points: measure(
        SERVER_COUNTS,
        (count) => JSON.stringify({ vms: createVms(count) }),
        (text) => vmsSchema.parse(JSON.parse(text)),
      ),
    },
    {
      name: 'sort servers into shards',
      cause,
      unit,
      points: measure(SERVER_COUNTS, createVms, (vms) => resolveShards(vms, terms)),
    },
    {
      name: 'find the shards of a group by looking at all',
      cause,
      unit,
      points: measure(
        SERVER_COUNTS,
        (count) => resolveShards(createVms(count), terms),
        (shards) => findShards(snapshot, group, shards),
      ),
    },
  ];
}

function findShards(
  snapshot: ConfigurationSnapshot,
  group: EngineGroup,
  shards: ReturnType<typeof resolveShards>,
) {
  return shards.filter(({ vms }) => vms.some((vm) => isMember(snapshot, group, vm)));
}

function measureNodeTables(): Series[] {
  const cause = 'node';
  const unit = 'µs';
  const namesOf = (count: number) => createStates(count).map(({ node }) => node);
  return [
    {
      name: 'rank all nodes for one shard',
      cause,
      unit,
      points: measure(NODE_COUNTS, namesOf, (names) => rankNodes('model-1.zone-1.1', names)),
    },
    {
      name: 'choose partners',
      cause,
      unit,
      points: measure(NODE_COUNTS, createStates, (states) => choosePeers('entry-1', states, 16)),
    },
    {
      name: 'list the nodes alive, unchanged',
      cause,
      unit,
      points: measure(NODE_COUNTS, prepareView, (view) => view.alive()),
    },
    {
      name: 'decode and check the states of all nodes',
      cause,
      unit,
      points: measure(
        NODE_COUNTS,
        (count) => encodeFrame(createNewsFrame(count)),
        (bytes) => decodeFrame(bytes),
      ),
    },
  ];
}

function measurePermits(): Series[] {
  return [
    {
      name: 'look for a place for all who wait',
      cause: 'request waiting at a full shard of 16',
      unit: 'µs',
      points: measure(WAITING_COUNTS, prepareHolder, (holder) => {
        holder.holdForOrder('engine-0', false);
      }),
    },
  ];
}

/** All decisions and codecs. */
export function measurePure(): void {
  report('pure', [
    ...measureFrames('heartbeat', createHeartbeatFrame()),
    ...measureFrames('permit request', { type: 'query', id: 1, query: createPermitQuery(1) }),
    ...measureConfigurations(),
    ...measureFleets(),
    ...measureNodeTables(),
    ...measurePermits(),
  ]);
}
