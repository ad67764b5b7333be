/**
 * Keep-alive connections to backend servers, one request at a time on each. An idle connection that
 * receives data is closed, since the data belongs to no request.
 */
import type { Agent, AgentOptions } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { createResetError, TunnelStream } from '../paths/index.js';
import { IdleGuardAgent } from '../ports/idle-guard-agent.js';
import type { Clock } from '../task/index.js';

/** Time after which idle connections are closed, in ms; a shorter limit in a server's answers takes
 * precedence. */
const IDLE_CLOSE_MS = 10_000;

/** Maximum number of idle connections to each server. */
const MAX_IDLE = 32;

/** Makes the connections of an agent. */
export interface Connector {
  connect(): Promise<Duplex>;
  /** Whether connections go through tunnels at present. */
  isPathLost(): boolean;
}

type Created = (error: Error | null, connection: Duplex) => void;

/** An agent that closes idle connections on which data arrives, and tunnels once they are not needed. */
export class KeepAliveAgent extends IdleGuardAgent {
  readonly #openedAt = new WeakMap<Duplex, number>();
  readonly #clock: Clock;
  readonly #connector: Connector | undefined;
  #connecting = 0;
  #most = Number.POSITIVE_INFINITY;

  /**
   * @param connector makes the connections; by default they are dialled as the request says
   */
  constructor(clock: Clock, options: AgentOptions = {}, connector?: Connector) {
    super({
      ...options,
      keepAlive: true,
      maxFreeSockets: MAX_IDLE,
      scheduling: 'lifo',
      timeout: IDLE_CLOSE_MS,
      noDelay: true,
    });
    this.#clock = clock;
    this.#connector = connector;
  }

  /** Limits the connections; those that are being made, which the agent does not count, included. */
  limit(most: number): void {
    this.#most = most;
    this.#countConnecting(0);
  }

  #countConnecting(change: number): void {
    this.#connecting += change;
    this.maxSockets = Math.max(0, this.#most - this.#connecting);
  }

  override createConnection(
    ...args: Parameters<Agent['createConnection']>
  ): ReturnType<Agent['createConnection']> {
    const [, created] = args;
    if (this.#connector !== undefined && created !== undefined) {
      void this.#connect(this.#connector, created);
      return undefined;
    }
    const socket = super.createConnection(...args);
    if (socket) this.#openedAt.set(socket, this.#clock.now());
    return socket;
  }

  #isNotNeeded({ isRetiring }: TunnelStream): boolean {
    return isRetiring || this.#connector?.isPathLost() !== true;
  }

  async #connect(connector: Connector, created: Created): Promise<void> {
    this.#countConnecting(1);
    try {
      const connection = await connector.connect();
      this.#openedAt.set(connection, this.#clock.now());
      created(null, connection);
    } catch (error) {
      // the agent takes no connection with an error
      created(error as Error, undefined as never);
    } finally {
      this.#countConnecting(-1);
    }
  }

  /** When a connection was opened, in ms on the gateway's clock. */
  openedAt(socket: Duplex): number {
    return this.#openedAt.get(socket) ?? this.#clock.now();
  }

  override keepSocketAlive(socket: Socket): boolean {
    if (socket instanceof TunnelStream && this.#isNotNeeded(socket)) return false;
    return super.keepSocketAlive(socket);
  }
}

/** Connections to all backend servers. */
export interface Connections {
  /** The agent for one incarnation of a server. */
  agentFor(id: string): Agent;
  /** Closes idle connections to a removed server; active ones close with their request. */
  drop(id: string): void;
  /**
   * Resets connections to an incarnation that has been replaced, so that its requests fail at once
   * instead of at a timeout. Connections opened since its successor started lead to the successor
   * and stay open.
   *
   * @param id the replaced incarnation
   * @param sinceMs how long ago its successor started, in ms
   */
  resetStale(id: string, sinceMs: number): void;
  /** Closes idle connections over a path that is lost; tunnels stay. */
  pathLost(id: string): void;
  /** Closes idle tunnels through gateways that stop. */
  closeRetiringTunnels(): void;
  /** Servers to which there are connections. */
  servers(): string[];
  close(): void;
}

/**
 * Creates the connections of a gateway.
 *
 * @param limitFor maximum number of connections from this gateway to a server
 * @param clock the gateway's clock
 * @param connectorFor makes the connections to a server; `undefined` for one that is not registered, whose address is
 * dialled as the request says
 */
export function createConnections(
  limitFor: (id: string) => number,
  clock: Clock,
  connectorFor: (id: string) => Connector | undefined = () => undefined,
): Connections {
  const agents = new Map<string, KeepAliveAgent>();
  return {
    agentFor(id) {
      const known = agents.get(id);
      if (known !== undefined) {
        known.limit(limitFor(id));
        return known;
      }
      const agent = new KeepAliveAgent(clock, {}, connectorFor(id));
      agent.limit(limitFor(id));
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
          // has the code of a reset by a crashed server, so that both are handled alike
          if (agent.openedAt(socket) < openedBefore)
            socket.destroy(createResetError('the server has started again'));
        }
      }
    },
    pathLost(id) {
      const agent = agents.get(id);
      if (agent !== undefined) closeIdle(agent, (socket) => !(socket instanceof TunnelStream));
    },
    closeRetiringTunnels() {
      for (const agent of agents.values())
        closeIdle(agent, (socket) => socket instanceof TunnelStream && socket.isRetiring);
    },
    servers: () => [...agents.keys()],
    close() {
      for (const agent of agents.values()) {
        agent.destroy();
      }
      agents.clear();
    },
  };
}

function closeIdle(agent: Agent, isClosed: (socket: Socket) => boolean = () => true): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) {
      if (isClosed(socket)) socket.destroy();
    }
  }
}
