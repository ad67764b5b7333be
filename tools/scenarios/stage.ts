/**
 * What one running scenario is made of, and what its steps have led to so far.
 */
import type { Agent } from 'undici';
import {
  makeReady,
  resolvePlatform,
  resolveVms,
  startCluster,
  type Cluster,
  type ClusterPlan,
  type Process,
} from '../common/index.js';
import type { StoredObject } from '../../src/configuration/index.js';
import type { Vm } from '../../src/ports/index.js';
import { createLoad, readExample, type Load } from './load.js';
import { createNetwork, type Network } from './network.js';
import { createCallerAgent, type Asked } from './sending.js';
import { readSequence } from './records.js';
import type { Scenario } from './steps.js';
import { watchVersions, type VersionWatch } from './versions.js';

/** A running scenario. */
export interface Stage {
  scenario: Scenario;
  cluster: Cluster;
  network: Network | undefined;
  agent: Agent;
  load: Load;
  watch: VersionWatch;
  /** Violations that a step itself found. */
  found: string[];
  /** The VMs as they truly are. */
  vms: Vm[];
  /** The configuration's objects as last written, by kind and name. */
  objects: Map<string, StoredObject>;
  /** Newest version that an operator was told was accepted. */
  version: number;
  /** Time from an accepted change to when all nodes had it, newest last. */
  inForce: Promise<number>[];
  /** How many of the last competing changes were accepted. */
  accepted: number;
  /** The call that is made at several nodes under one key. */
  keyed: Asked | undefined;
  /** Codes of refusals that single calls got. */
  codes: string[];
  /** Newest entry of a server's record when it should have got its last work. */
  cutoffs: Map<string, Promise<number>>;
  /** Zones whose backend servers stand still. */
  lostZones: string[];
  /** Nodes that stand still. */
  paused: Process[];
}

/** Names of an object, as it is kept in a map. */
export function nameOf(object: { kind: string; name: string }): string {
  return `${object.kind}/${object.name}`;
}

/**
 * Starts what a scenario runs on, and waits until all of it is ready.
 *
 * @param scenario the scenario
 * @param basePort first port of its range
 * @param folder where its settings and logs go
 * @param onLine hears the log lines of its nodes
 */
export async function createStage(
  scenario: Scenario,
  basePort: number,
  folder: string,
  onLine: (node: string, line: string) => void,
): Promise<Stage> {
  const plan = createPlan(scenario, basePort);
  const example = readExample(scenario.setup.example);
  const network = needsNetwork(scenario) ? await createNetwork(plan) : undefined;
  const cluster = await startCluster({
    plan,
    folder,
    onLine,
    platformOf: (node) => network?.platformOf(node) ?? resolvePlatform(plan),
    settingsOf: (node) => network?.settingsOf(node) ?? {},
  });
  try {
    await makeReady(cluster, example.objects);
  } catch (error) {
    await cluster.stop();
    await network?.close();
    throw error;
  }
  const agent = createCallerAgent();
  const objects = new Map<string, StoredObject>();
  for (const object of example.objects) objects.set(nameOf(object), object);
  return {
    scenario,
    cluster,
    network,
    agent,
    load: createLoad(plan, example, agent, `${basePort}`),
    watch: watchVersions(cluster),
    found: [],
    vms: resolveVms(plan),
    objects,
    version: 0,
    inForce: [],
    accepted: 0,
    keyed: undefined,
    codes: [],
    cutoffs: new Map(),
    lostZones: [],
    paused: [],
  };
}

/** Stops all that a scenario runs on. */
export async function closeStage(stage: Stage): Promise<void> {
  stage.watch.stop();
  await stage.load.stop();
  await stage.cluster.stop();
  await stage.agent.destroy();
  await stage.network?.close();
}

/**
 * Notes that a server is to get no more work; what comes after the time that the scenario allows is
 * a violation.
 *
 * @param afterMs when the server's leaving is first said, from now
 */
export function noteLeaving(stage: Stage, server: string, afterMs = 0): void {
  const allowedMs = findAllowedMs(stage.scenario, server);
  if (allowedMs === undefined) return;
  const cutoff = new Promise((resolve) => setTimeout(resolve, afterMs + allowedMs)).then(() => {
    return readSequence(stage.cluster, server);
  });
  stage.cutoffs.set(server, cutoff);
}

function findAllowedMs(scenario: Scenario, server: string): number | undefined {
  for (const { does } of scenario.steps) {
    if (does.kind === 'no-new-work' && does.server === server) return does.afterMs;
  }
  return undefined;
}

function needsNetwork(scenario: Scenario): boolean {
  return scenario.steps.some(({ does }) => does.kind === 'cut');
}

function createPlan(scenario: Scenario, basePort: number): ClusterPlan {
  const { example, listLagMs, zones } = scenario.setup;
  const { objects } = readExample(example);
  const model = objects.find((object) => object.kind === 'group' && object.model !== undefined);
  const service = objects.find((object) => object.kind === 'group' && object.service !== undefined);
  if (model?.kind !== 'group' || service?.kind !== 'group') {
    throw new Error(`${example} has no group of engines or none of workers`);
  }
  return {
    basePort,
    zones,
    engineService: findApp(model),
    model: model.model ?? '',
    plainService: findApp(service),
    vmListLagMs: listLagMs,
  };
}

/** The label by which a group of an example selects its VMs. */
function findApp(group: Extract<StoredObject, { kind: 'group' }>): string {
  const { matchLabels, matchExpressions } = group.selector;
  const app = matchLabels.app ?? matchExpressions[0]?.values[0];
  if (app === undefined) throw new Error(`group ${group.name} selects by no label "app"`);
  return app;
}
