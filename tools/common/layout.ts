/**
 * The settings of a small cluster on one machine: which ports its stand-ins and nodes take, and the
 * JSON documents that they are started with. Purely a function of the plan.
 */
import type { FleetSettings } from '../../stand-ins/index.js';
import type { Vm } from '../../src/ports/index.js';

/** One availability zone of a plan. */
export interface PlannedZone {
  zone: string;
  nodes: string[];
  engines: PlannedEngine[];
  /** Names of the workers of the plain service. */
  services: string[];
}

/** One engine of a plan. */
export interface PlannedEngine {
  id: string;
  /** Whether it refuses orders with an old fencing number. */
  checksFence: boolean;
}

/** What a cluster is made of. */
export interface ClusterPlan {
  /** First port; the cluster takes up to `PORT_SPAN` from there. */
  basePort: number;
  zones: PlannedZone[];
  /** The fleet that engines belong to, as label `app`. */
  engineService: string;
  model: string;
  /** The plain service, as label `app`. */
  plainService: string;
  vmListLagMs: number;
  /** More settings of every node, by their top-level key. */
  nodeSettings?: Record<string, unknown>;
}

/** Addresses of one node, as `host:port`. */
export interface PlannedAddresses {
  caller: string;
  operator: string;
  peer: string;
}

/** Addresses of the platform's parts, as origins. */
export interface PlatformOrigins {
  tableService: string;
  objectStore: string;
  vmList: string;
  weightStore: string;
}

/** Ports that one cluster may take. */
export const PORT_SPAN = 300;

const HOST = '127.0.0.1';
const ENGINE_PORTS = 10;
const SERVICE_PORTS = 60;
const PEER_PORTS = 100;
const CALLER_PORTS = 150;
const OPERATOR_PORTS = 200;

/** Names of a plan's nodes, in order. */
export function listNodes(plan: ClusterPlan): string[] {
  const names: string[] = [];
  for (const { nodes } of plan.zones) names.push(...nodes);
  return names;
}

/** Names of a plan's engines, in order. */
export function listEngines(plan: ClusterPlan): string[] {
  const names: string[] = [];
  for (const { engines } of plan.zones) {
    for (const { id } of engines) names.push(id);
  }
  return names;
}

/** Names of a plan's workers of the plain service, in order. */
export function listServices(plan: ClusterPlan): string[] {
  const names: string[] = [];
  for (const { services } of plan.zones) names.push(...services);
  return names;
}

/** The availability zone that a node or backend server is in. */
export function zoneOf(plan: ClusterPlan, name: string): string | undefined {
  for (const { zone, nodes, engines, services } of plan.zones) {
    const isHere = nodes.includes(name) || services.includes(name);
    if (isHere || engines.some(({ id }) => id === name)) return zone;
  }
  return undefined;
}

/** Addresses of a node of the plan. */
export function resolveAddresses(plan: ClusterPlan, node: string): PlannedAddresses {
  const index = listNodes(plan).indexOf(node);
  return {
    caller: addressAt(plan, CALLER_PORTS + index),
    operator: addressAt(plan, OPERATOR_PORTS + index),
    peer: addressAt(plan, PEER_PORTS + index),
  };
}

/** Address of an engine or of a worker of the plain service. */
export function resolveServerAddress(plan: ClusterPlan, name: string): string {
  const engine = listEngines(plan).indexOf(name);
  if (engine >= 0) return addressAt(plan, ENGINE_PORTS + engine);
  return addressAt(plan, SERVICE_PORTS + listServices(plan).indexOf(name));
}

/** Where the platform's parts are. */
export function resolvePlatform(plan: ClusterPlan): PlatformOrigins {
  return {
    tableService: `http://${addressAt(plan, 0)}`,
    objectStore: `http://${addressAt(plan, 1)}`,
    vmList: `http://${addressAt(plan, 2)}`,
    weightStore: `http://${addressAt(plan, 3)}`,
  };
}

/** The platform's list as it is at the start. */
export function resolveVms(plan: ClusterPlan): Vm[] {
  const vms: Vm[] = [];
  for (const { zone, nodes, engines, services } of plan.zones) {
    for (const { id, checksFence } of engines) {
      const address = resolveServerAddress(plan, id);
      const labels = { app: plan.engineService, zone };
      const service = plan.engineService;
      vms.push({
        id,
        address,
        zone,
        kind: 'model-engine',
        service,
        state: 'live',
        labels,
        checksFence,
      });
    }
    for (const id of services) {
      const address = resolveServerAddress(plan, id);
      const labels = { app: plan.plainService, zone };
      const service = plan.plainService;
      const kind = 'plain-service';
      vms.push({ id, address, zone, kind, service, state: 'live', labels, checksFence: false });
    }
    for (const id of nodes) {
      const address = resolveAddresses(plan, id).peer;
      const common = { zone, state: 'live' as const, labels: {}, checksFence: false };
      vms.push({ id, address, kind: 'entry', service: 'reedtally', ...common });
    }
  }
  return vms;
}

/** Settings of the table service, which runs by itself so that it can be paused alone. */
export function resolveTableSettings(plan: ClusterPlan): FleetSettings {
  return { standIns: [{ kind: 'table-service', listen: addressAt(plan, 0) }] };
}

/** Settings of the rest of the platform. */
export function resolvePlatformSettings(plan: ClusterPlan): FleetSettings {
  return {
    standIns: [
      { kind: 'object-store', listen: addressAt(plan, 1) },
      {
        kind: 'vm-list',
        listen: addressAt(plan, 2),
        lagMs: plan.vmListLagMs,
        vms: resolveVms(plan),
      },
      { kind: 'weight-store', listen: addressAt(plan, 3), ticketsPerSecond: 1 },
    ],
  };
}

/** Settings of the backend servers of one availability zone. */
export function resolveServerSettings(plan: ClusterPlan, zone: PlannedZone): FleetSettings {
  const standIns: FleetSettings['standIns'] = [];
  for (const { id, checksFence } of zone.engines) {
    const listen = resolveServerAddress(plan, id);
    standIns.push({ kind: 'model-engine', id, listen, models: [plan.model], checksFence });
  }
  for (const id of zone.services) {
    standIns.push({ kind: 'plain-service', id, listen: resolveServerAddress(plan, id) });
  }
  return { standIns };
}

/**
 * Settings of a node.
 *
 * @param plan the cluster
 * @param node the node's name
 * @param platform where this node finds the platform's parts
 */
export function resolveNodeSettings(
  plan: ClusterPlan,
  node: string,
  platform: PlatformOrigins = resolvePlatform(plan),
): Record<string, unknown> {
  return {
    node,
    zone: zoneOf(plan, node),
    listen: resolveAddresses(plan, node),
    platform,
    secrets: {
      peerKey: { environment: 'REEDTALLY_PEER_KEY' },
      operatorToken: { environment: 'REEDTALLY_OPERATOR_TOKEN' },
    },
    ...plan.nodeSettings,
  };
}

function addressAt(plan: ClusterPlan, offset: number): string {
  return `${HOST}:${plan.basePort + offset}`;
}
