/**
 * The fixed fleet of a run: three entry VMs in two availability zones, three model engines of which
 * one ignores fencing numbers, and two workers of a plain service; and the configuration that
 * binds one team to them.
 */
import { createHash } from 'node:crypto';
import { storedObjectSchema, type StoredObject } from '../../src/configuration/index.js';
import { vmSchema, type Vm } from '../../src/ports/index.js';
import { settingsSchema, type Settings } from '../../src/settings/index.js';

const ZONES = ['tema-hall', 'osu-hall'];

/** Names of the nodes. */
export const nodeNames: readonly string[] = ['n1', 'n2', 'n3'];
/** Names of the engines. */
export const engineNames: readonly string[] = ['e1', 'e2', 'e3'];
/** The engine that ignores fencing numbers. */
export const IGNORING_ENGINE = 'e3';
/** Names of the workers. */
export const workerNames: readonly string[] = ['w1', 'w2'];
/** The team's key. */
export const API_KEY = 'matrix-key';
/** The operators' token. */
export const OPERATOR_TOKEN = 'matrix-operator';
/** The model that all engines serve. */
export const MODEL = 'manual-7b';
/** The plain service. */
export const SERVICE = 'catalogue';

/** Heartbeats and looks at the table are slower than by default, to keep runs short. */
const HEARTBEAT_MS = 500;
const SUSPECT_MS = 1_600;
const ENTRY_POINTS_KEPT_MS = 1_000;
const MAX_INLINE_BYTES = 128;

/**
 * Addresses of a node, unique in the run.
 *
 * @param name the node's name
 */
export function addressesOf(name: string): Settings['listen'] {
  const host = `10.0.0.${nodeNames.indexOf(name) + 1}`;
  return { caller: `${host}:80`, operator: `${host}:81`, peer: `${host}:82` };
}

/** The platform's true list of VMs. */
export function createVms(): Vm[] {
  const vms: Vm[] = [];
  for (const [index, name] of nodeNames.entries()) {
    const { peer } = addressesOf(name);
    vms.push(createVm({ id: name, address: peer, kind: 'entry', service: 'entry' }, index));
  }
  for (const [index, name] of engineNames.entries()) {
    const address = `10.0.1.${index + 1}:80`;
    const checksFence = name !== IGNORING_ENGINE;
    const labels = { pool: 'manuals' };
    const vm = { id: name, address, service: 'manuals', kind: 'model-engine', labels, checksFence };
    vms.push(createVm(vm, index));
  }
  for (const [index, name] of workerNames.entries()) {
    const address = `10.0.2.${index + 1}:80`;
    const labels = { pool: SERVICE };
    vms.push(
      createVm({ id: name, address, service: SERVICE, kind: 'plain-service', labels }, index),
    );
  }
  return vms;
}

function createVm(vm: object, index: number): Vm {
  const zone = ZONES[index % ZONES.length];
  return vmSchema.parse({ state: 'live', labels: {}, zone, ...vm });
}

/** The configuration at the beginning. */
export function createObjects(): StoredObject[] {
  const keyHash = createHash('sha256').update(API_KEY).digest('hex');
  return [
    { kind: 'team', name: 'fitters', keyHashes: [keyHash] },
    { kind: 'class', name: 'default', firstTokenMs: 1_500, deadlineMs: 12_000 },
    { kind: 'class', name: 'billed', firstTokenMs: 1_500, deadlineMs: 6_000, repeatable: false },
    {
      kind: 'group',
      name: 'manuals',
      model: MODEL,
      selector: { matchLabels: { pool: 'manuals' } },
    },
    {
      kind: 'group',
      name: SERVICE,
      service: SERVICE,
      selector: { matchLabels: { pool: SERVICE } },
    },
    { kind: 'binding', name: 'all', teams: {}, classes: {}, groups: {} },
  ].map((object) => storedObjectSchema.parse(object));
}

/**
 * Settings of a node.
 *
 * @param name the node's name
 * @param graceMs how long a planned stop waits for requests
 */
export function createSettings(name: string, graceMs: number): Settings {
  const peers = nodeNames.filter((other) => other !== name).map((other) => addressesOf(other).peer);
  const url = 'http://10.0.9.1:80';
  return settingsSchema.parse({
    node: name,
    zone: ZONES[nodeNames.indexOf(name) % ZONES.length],
    listen: addressesOf(name),
    peers,
    platform: { tableService: url, objectStore: url, vmList: url },
    secrets: { peerKey: { environment: 'NONE' }, operatorToken: { environment: 'NONE' } },
    membership: {
      heartbeatEveryMs: HEARTBEAT_MS,
      suspectAfterMs: SUSPECT_MS,
      entryPointsKeptMs: ENTRY_POINTS_KEPT_MS,
    },
    requests: { retryShare: 0.5 },
    claims: { maxInlineBytes: MAX_INLINE_BYTES },
    shutdown: { graceMs },
  });
}
