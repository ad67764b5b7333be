/**
 * Kept-alive connections to one backend server. Each serves one request at a time. One on which
 * anything arrives while no request waits is closed, since such bytes belong to no request.
 */
import { Agent, type AgentOptions } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { Clock } from '../task/index.js';

/** Idle connections are closed by this end after this long, in ms; servers state their own limit
 * in their answers, which goes first where it is shorter. */
const IDLE_CLOSE_MS = 10_000;

/** Connections kept idle for each server; more than a server's share of concurrent requests. */
const MAX_IDLE = 32;

/** An agent that distrusts idle connections. */
export class KeepAliveAgent extends Agent {
  readonly #unusable = new WeakSet<Socket>();
  readonly #watches = new WeakMap<Socket, () => void>();
  readonly #openedAt = new WeakMap<Duplex, number>();
  readonly #clock: Clock;

  constructor(clock: Clock, options: AgentOptions = {}) {
    super({
      ...options,
      keepAlive: true,
      maxFreeSockets: MAX_IDLE,
      scheduling: 'lifo',
      timeout: IDLE_CLOSE_MS,
      noDelay: true,
    });
    this.#clock = clock;
  }

  override createConnection(
    ...args: Parameters<Agent['createConnection']>
  ): ReturnType<Agent['createConnection']> {
    const socket = super.createConnection(...args);
    if (socket) this.#openedAt.set(socket, this.#clock.now());
    return socket;
  }

  /** When a connection was opened, on the gateway's clock in ms. */
  openedAt(socket: Duplex): number {
    return this.#openedAt.get(socket) ?? this.#clock.now();
  }

  override keepSocketAlive(socket: Socket): boolean {
    if (this.#unusable.has(socket) || socket.readableLength > 0) return false;
    // the types leave out that it tells whether the connection may be kept
    const keep: (kept: Socket) => unknown = super.keepSocketAlive.bind(this);
    if (keep(socket) === false) return false;
    const refuse = (): void => {
      this.#unusable.add(socket);
      socket.destroy();
    };
    this.#watches.set(socket, refuse);
    socket.on('data', refuse);
    return true;
  }

  override reuseSocket(socket: Socket, request: never): void {
    const refuse = this.#watches.get(socket);
    if (refuse !== undefined) socket.off('data', refuse);
    super.reuseSocket(socket, request);
  }
}

/** Connections to all backend servers. */
export interface Connections {
  /** The agent for one incarnation of a server. */
  agentFor(id: string): Agent;
  /** Closes what is idle to a server that is gone; what is in use ends with its request. */
  drop(id: string): void;
  /**
   * Breaks connections to an incarnation that another one has replaced: what was sent to it ends now, not
   * at a timeout. Connections opened since the other one's start already lead to that one and stay.
   *
   * @param id the incarnation that is gone
   * @param sinceMs how long ago the other one started, in ms
   */
  resetStale(id: string, sinceMs: number): void;
  close(): void;
}

/**
 * Creates the connections of a gateway.
 *
 * @param limitFor most connections that this gateway may have to a server
 * @param clock tells how old connections are
 */
export function createConnections(limitFor: (id: string) => number, clock: Clock): Connections {
  const agents = new Map<string, KeepAliveAgent>();
  return {
    agentFor(id) {
      const known = agents.get(id);
      if (known !== undefined) {
        known.maxSockets = limitFor(id);
        return known;
      }
      const agent = new KeepAliveAgent(clock, { maxSockets: limitFor(id) });
      agents.set(id, agent);
      return agent;
    },
    drop(id) {
      const agent = agents.get(id);
      agents.delete(id);
      if (agent !== undefined) closeIdle(agent);
    },
    resetStale(id, sinceMs) {
      const agent = agents.get(id);
      if (agent === undefined) return;
      const openedBefore = clock.now() - sinceMs;
      for (const sockets of Object.values(agent.sockets)) {
        for (const socket of sockets ?? []) {
          if (agent.openedAt(socket) < openedBefore) socket.destroy(createReset());
        }
      }
    },
    close() {
      for (const agent of agents.values()) {
        agent.destroy();
      }
      agents.clear();
    },
  };
}

/** Ends a send as the reset by a server that crashed does. */
function createReset(): Error {
  return Object.assign(new Error('the server has started again'), { code: 'ECONNRESET' });
}

function closeIdle(agent: Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) {
      socket.destroy();
    }
  }
}
