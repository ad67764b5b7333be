/**
 * Membership tasks of hundreds of nodes in one process, on simulated time, whose messages go
 * through the real codec. It shows what one node sends and computes where so many processes cannot
 * be run.
 */
import { Err, Ok } from 'ts-results-es';
import { createRefusal } from '../../src/errors/index.js';
import { createSilentLog } from '../../src/events/index.js';
import {
  decodeFrame,
  encodeFrame,
  type GossipMessage,
  type NodeState,
  type Notice,
  type ShardSummary,
} from '../../src/links/index.js';
import {
  createEmptyGossipMessage,
  createMembership,
  type Membership,
} from '../../src/membership/index.js';
import { settingsSchema, type Settings } from '../../src/settings/index.js';
import type { Clock } from '../../src/task/index.js';

const LATENCY_MS = 5;
const ZONES = 9;
/** Bytes around each frame: WebSocket header and mask, and TCP and IP headers. */
const FRAME_OVERHEAD_BYTES = 6 + 40;
const SETTLE_EVERY_MS = 10;

/** One node of the network. */
export interface SimulatedNode {
  name: string;
  membership: Membership;
  links: Set<string>;
  shards: ShardSummary[];
  version: number;
  leaving: boolean;
  up: boolean;
}

/** Many nodes on simulated time. */
export interface SimulatedNetwork {
  nodes: SimulatedNode[];
  /** Bytes that all nodes sent so far, with the headers around each frame. */
  bytes(): number;
  frames(): number;
  run(durationMs: number): Promise<void>;
  kill(node: SimulatedNode): void;
}

function createSimulatedClock() {
  const due = new Map<number, Set<() => void>>();
  let now = 0;

  const clock: Clock = {
    now: () => now,
    after(delayMs, action) {
      const at = Math.max(now + 1, Math.round(now + delayMs));
      const actions = due.get(at) ?? new Set();
      due.set(at, actions);
      actions.add(action);
      return { cancel: () => actions.delete(action) };
    },
  };

  async function run(durationMs: number): Promise<void> {
    const until = now + durationMs;
    while (now < until) {
      now += 1;
      for (const action of due.get(now) ?? []) action();
      due.delete(now);
      if (now % SETTLE_EVERY_MS === 0) await new Promise((resolve) => setImmediate(resolve));
    }
  }

  return { clock, run };
}

/**
 * Creates a network whose nodes know each other already, and starts it.
 *
 * @param count how many nodes
 * @param terms settings of membership, over the defaults
 */
export async function startNetwork(
  count: number,
  terms: Partial<Settings['membership']>,
): Promise<SimulatedNetwork> {
  const { clock, run } = createSimulatedClock();
  const byName = new Map<string, SimulatedNode>();
  const byAddress = new Map<string, SimulatedNode>();
  let bytes = 0;
  let frames = 0;

  function transmit(from: SimulatedNode, to: string, notice: Notice): void {
    const receiver = byName.get(to);
    if (receiver === undefined || !from.links.has(to)) return;
    const frame = encodeFrame({ type: 'notice', notice });
    bytes += frame.length + FRAME_OVERHEAD_BYTES;
    frames += 1;
    clock.after(LATENCY_MS, () => {
      if (!receiver.up) return;
      const decoded = decodeFrame(frame);
      if (decoded?.type !== 'notice') return;
      const { notice: received } = decoded;
      if (received.kind === 'heartbeat' || received.kind === 'news') {
        receiver.membership.receive(from.name, received);
      }
    });
  }

  function dial(from: SimulatedNode, address: string): void {
    const target = byAddress.get(address);
    if (target?.up !== true || from.links.has(target.name)) return;
    from.links.add(target.name);
    target.links.add(from.name);
    from.membership.opened(target.name);
    target.membership.opened(from.name);
  }

  function drop(from: SimulatedNode, peer: string): void {
    from.links.delete(peer);
    byName.get(peer)?.links.delete(from.name);
  }

  function createNode(index: number): SimulatedNode {
    const name = `entry-${index}`;
    const node: SimulatedNode = {
      name,
      links: new Set(),
      shards: [],
      version: 0,
      leaving: false,
      up: true,
      membership: createMembership({
        node: name,
        terms: settingsSchema.shape.membership.parse(terms),
        seeds: [],
        links: {
          peers: () => [...node.links],
          dial: (address) => {
            dial(node, address);
          },
          drop: (peer) => {
            drop(node, peer);
          },
          send: (peer, notice) => {
            transmit(node, peer, notice);
          },
          query: (peer) =>
            Promise.resolve(
              Err(
                createRefusal({
                  code: 'peer-unreachable',
                  message: 'queries are not simulated',
                  step: 'link.call',
                  peer,
                }),
              ),
            ),
        },
        vmList: { list: () => Promise.resolve(Ok([])) },
        clock,
        log: createSilentLog(),
        ownState: () => ({ ...createState(index), leaving: node.leaving, ...versionOf(node) }),
        ownShards: () => node.shards,
        versionReceived: () => undefined,
        shardSummariesReceived: () => undefined,
        listed: () => undefined,
      }),
    };
    byName.set(name, node);
    byAddress.set(createState(index).peer, node);
    return node;
  }

  const nodes: SimulatedNode[] = [];
  for (let index = 0; index < count; index++) nodes.push(createNode(index));
  const everybody = createIntroduction(count);
  for (const node of nodes) node.membership.receive('nobody', structuredClone(everybody));
  for (const node of nodes) {
    await node.membership.start();
    await run(1);
  }
  return {
    nodes,
    bytes: () => bytes,
    frames: () => frames,
    run,
    kill(node) {
      node.up = false;
      node.membership.stop();
      for (const peer of [...node.links]) drop(node, peer);
    },
  };
}

function versionOf(node: SimulatedNode): Pick<NodeState, 'configurationVersion'> {
  return { configurationVersion: node.version };
}

/** The state of a node, of the length that real ones have. */
export function createState(index: number): Omit<NodeState, 'sequence'> {
  const host = `10.20.${Math.floor(index / 250)}.${index % 250}`;
  return {
    node: `entry-${index}`,
    incarnation: `00000000-0000-4000-8000-${String(index).padStart(12, '0')}`,
    zone: `zone-${index % ZONES}`,
    caller: `${host}:7001`,
    operator: `${host}:7002`,
    peer: `${host}:7003`,
    leaving: false,
    configurationVersion: 0,
    inFlight: 0,
  };
}

function createIntroduction(count: number): GossipMessage {
  const news = createEmptyGossipMessage();
  for (let index = 0; index < count; index++) {
    news.states.push({ ...createState(index), sequence: 0 });
  }
  return news;
}
