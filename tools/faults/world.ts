/**
 * One run's world: real nodes on fake ports. Nodes are wired by `createNode`, as in the daemon;
 * only time, chance, network and platform are fakes.
 */
import type { Hono } from 'hono';
import type { EventFields, EventName, Log } from '../../src/events/index.js';
import { createNode, type Node, type NodeEnvironment } from '../../src/node/index.js';
import { createSeededRandom, wait, type RandomSource } from '../../src/task/index.js';
import { createFakeEngine, type FakeEngine } from './fakes/engine.js';
import { createEnginePort, type ServerPortParts } from './fakes/engine-port.js';
import { createLinkHub, type LinkHub } from './fakes/links.js';
import { createNetwork, type Network } from './fakes/network.js';
import {
  createFakeVms,
  createObjectStorePort,
  createVmListPort,
  createWeightStorePort,
  type FakeVms,
  type StoredObjects,
} from './fakes/platform.js';
import { createFakeProcess, type FakeProcess } from './fakes/process.js';
import { createFakeRecord, type FakeRecord } from './fakes/record.js';
import { createFakeService, createServicePort, type FakeService } from './fakes/service.js';
import { createFakeTable, TABLE, type FakeTable } from './fakes/table.js';
import { createVirtualTime, type VirtualTime } from './fakes/virtual-time.js';
import {
  addressesOf,
  createSettings,
  createVms,
  MODEL,
  nodeNames,
  OPERATOR_TOKEN,
} from './fleet.js';
import {
  weakenEngine,
  weakenLinks,
  weakenService,
  weakenTable,
  weakenVmList,
  type Mechanism,
} from './mechanisms.js';
import { createStepWatch, type StepWatch } from './step-watch.js';

const GRACE_MS = 60_000;
const NO_GRACE_MS = 1;
const CLOSE_POLL_MS = 5;
const SHUTDOWN_WAIT_AFTER_MS = 1_010;
const EPOCH_MS = 1_700_000_000_000;

/** A front that answers requests. */
export type Front = Pick<Hono, 'fetch'>;

/** One run of a node's program. */
export interface RunningNode {
  name: string;
  node: Node;
  process: FakeProcess;
  /** Fronts by address, while it listens. */
  fronts: Map<string, Front>;
  /** Configuration versions in the order in which they came into force. */
  versions: number[];
  /** Requests that callers have in flight here. */
  inFlight: number;
  /** Requests in flight when the planned stop ended the process. */
  cutByStop: number;
  /** When its planned stop began, if it did. */
  stopAt: number | undefined;
}

/** A world. */
export interface World {
  time: VirtualTime;
  random: RandomSource;
  watch: StepWatch;
  network: Network;
  links: LinkHub;
  table: FakeTable;
  vms: FakeVms;
  record: FakeRecord;
  engines: Map<string, FakeEngine>;
  services: Map<string, FakeService>;
  /** The newest run of each node. */
  nodes: Map<string, RunningNode>;
  /** The node that last took each shard. */
  holders: Map<string, string>;
  /** Every run of every node, the oldest first. */
  runs: RunningNode[];
  start(name: string): Promise<void>;
  kill(name: string): void;
  /** Graceful shutdown, as on SIGTERM. */
  stop(name: string): Promise<void>;
  setDuplicating(isDuplicating: boolean): void;
}

/**
 * Creates a world in which no node runs yet.
 *
 * @param seed everything by chance follows from it
 * @param off the mechanism that a control switches off
 */
export function createWorld(seed: number, off?: Mechanism): World {
  const random = createSeededRandom(seed);
  const time = createVirtualTime();
  const watch = createStepWatch(() => time.now());
  const network = createNetwork(time, random);
  const links = createLinkHub({ time, network, random, watch });
  const table = createFakeTable({ network, watch });
  const vms = createFakeVms(createVms());
  const record = createFakeRecord();
  const objects: StoredObjects = new Map();
  const engines = new Map<string, FakeEngine>();
  const services = new Map<string, FakeService>();
  const nodes = new Map<string, RunningNode>();
  const holders = new Map<string, string>();
  const runs: RunningNode[] = [];
  let duplicating = false;
  let ids = 0;

  for (const vm of vms.vms) {
    if (vm.kind === 'model-engine') {
      // Listed as checking all the same: the system relies on a check that nobody makes. Either the
      // number or the order's id would do, so both are off.
      const checksFence = vm.checksFence && off !== 'fencing';
      const forgetsOrders = off === 'fencing';
      const models = [MODEL];
      const checked = { ...vm, checksFence };
      const parts = { vm: checked, time, random, record, models, forgetsOrders };
      engines.set(vm.id, createFakeEngine(parts));
    }
    if (vm.kind === 'plain-service') services.set(vm.id, createFakeService(vm));
  }

  /**
   * When word of a leaving server could last be on its way to the process or to a holder: nobody
   * learns anything while paused or cut from everybody, nor of the list while the platform is away.
   */
  function informedAt(process: FakeProcess): number {
    const others = nodeNames.filter((name) => name !== process.name);
    const isIsolated =
      isTableAway(process) && others.every((name) => network.isCut(process.name, name));
    if (isIsolated) return Infinity;
    return Math.max(process.resumedAt(), reconnectedAt(process), uninformedUntil);
  }

  function isTableAway(process: FakeProcess): boolean {
    return network.isDown(TABLE) || network.isCut(process.name, TABLE);
  }

  function reconnectedAt(process: FakeProcess): number {
    return isolation.get(process.name) ?? -Infinity;
  }

  /** When a node was last seen cut from everybody; sampled, to tell when it came back. */
  const isolation = new Map<string, number>();
  let uninformedUntil = -Infinity;
  const SAMPLE_MS = 100;
  function sampleIsolation(): void {
    for (const { name, process } of nodes.values()) {
      if (informedAt(process) === Infinity) isolation.set(name, time.now());
      const isDeaf = process.isPaused() || isTableAway(process) || network.isSlow(TABLE);
      if (isDeaf) uninformedUntil = time.now();
    }
    time.after(SAMPLE_MS, sampleIsolation);
  }
  sampleIsolation();

  function createEnvironment(run: RunningNode): NodeEnvironment {
    const { process } = run;
    const parts: ServerPortParts = {
      process,
      network,
      time,
      random,
      watch,
      record,
      informedAt,
      isDuplicating: () => duplicating,
    };
    return {
      clock: process.clock,
      random,
      createId: () => `id${(ids += 1)}`,
      wallClock: () => EPOCH_MS + time.now(),
      createPlatform: () => ({
        table: (purpose) => weakenTable(table.port(process, purpose), off),
        objectStore: createObjectStorePort(process, objects, network),
        weightStore: createWeightStorePort(process, network, watch),
        vmList: weakenVmList(createVmListPort(process, vms, network, watch), off),
      }),
      createLinks: (linksParts) => weakenLinks(links.connect(process, linksParts), off),
      createEngine: (id, address) =>
        weakenEngine(createEnginePort(engines.get(id), id, address, parts), off),
      createService: (id, address) =>
        weakenService(createServicePort(services.get(id), id, address, parts), off),
      listen: (app, address) => {
        run.fronts.set(address, app);
        return Promise.resolve({
          address,
          close: () => {
            run.fronts.delete(address);
            return off === 'drain-wait' ? Promise.resolve() : waitForAnswers(run);
          },
        });
      },
    };
  }

  /** As an HTTP server closes: open connections end first. */
  async function waitForAnswers(run: RunningNode): Promise<void> {
    while (run.inFlight > 0) await wait(run.process.clock, CLOSE_POLL_MS);
  }

  function createRecordingLog(run: RunningNode): Log {
    return {
      write(event: EventName, fields: EventFields = {}) {
        if (process.env.FAULTS_TRACE === '1') trace(time.now(), run.name, event, fields);
        if (event === 'configurationApplied') run.versions.push(Number(fields.version));
        if (event === 'shardTaken') holders.set(String(fields.shard), run.name);
        if (event === 'drainStarted') watch.reach('drain.wait', run.process);
      },
    };
  }

  async function start(name: string): Promise<void> {
    const run: RunningNode = {
      name,
      process: createFakeProcess(name, time, random),
      fronts: new Map(),
      versions: [],
      inFlight: 0,
      cutByStop: 0,
      stopAt: undefined,
      node: { start: () => Promise.reject(new Error()), stop: () => Promise.resolve() },
    };
    const settings = createSettings(name, off === 'drain-wait' ? NO_GRACE_MS : GRACE_MS);
    const secrets = { peerKey: 'matrix-peer-key', operatorToken: OPERATOR_TOKEN };
    run.node = createNode(settings, secrets, createRecordingLog(run), createEnvironment(run));
    nodes.set(name, run);
    runs.push(run);
    await run.node.start();
  }

  function kill(name: string): void {
    const run = nodes.get(name);
    run?.process.kill();
    run?.fronts.clear();
  }

  async function stop(name: string): Promise<void> {
    const run = nodes.get(name);
    if (run === undefined || run.process.isDead() || run.stopAt !== undefined) return;
    const { process } = run;
    run.stopAt = time.now();
    watch.reach('shutdown.announce', process);
    time.after(SHUTDOWN_WAIT_AFTER_MS, () => {
      watch.reach('shutdown.wait', process);
    });
    await new Promise<void>((resolve) => {
      process.perform(() => {
        resolve(run.node.stop());
      });
    });
    run.cutByStop = process.isDead() ? 0 : run.inFlight;
    process.kill();
  }

  return {
    time,
    random,
    watch,
    network,
    links,
    table,
    vms,
    record,
    engines,
    services,
    nodes,
    holders,
    runs,
    start,
    kill,
    stop,
    setDuplicating(isDuplicating) {
      duplicating = isDuplicating;
      links.setDuplicating(isDuplicating);
    },
  };
}

/**
 * The front of a node for callers or operators; `undefined` when nothing listens.
 *
 * @param world the world
 * @param name the node's name
 * @param kind which front
 */
export function findFront(
  world: World,
  name: string,
  kind: 'caller' | 'operator',
): Front | undefined {
  return world.nodes.get(name)?.fronts.get(addressesOf(name)[kind]);
}

function trace(now: number, node: string, event: string, fields: EventFields): void {
  process.stderr.write(`${now.toFixed(1)} ${node} ${event} ${JSON.stringify(fields)}\n`);
}
