/**
 * Opens tunnels to backend servers through peer gateways. A further peer is asked when one fails or is slow, each in
 * another availability zone than the one before if there is one, since a whole zone may have lost its paths. The first
 * tunnel is used.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { WebSocket } from 'ws';
import type { Log } from '../events/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import type { GatewayState } from '../peers/index.js';
import { boundedHandshake } from '../ports/bounded-head.js';
import { setPeerTimeout, type Clock, type RandomSource, type Timer } from '../task/index.js';
import { createResetError } from './connection-end.js';
import { ignoreError, type DialFailure } from './dial.js';
import { resolveTunnelFailure, TUNNEL_HEADER, TUNNEL_PATH } from './tunnel-protocol.js';
import { TunnelStream } from './tunnel-stream.js';

/** Most peers that are asked for one connection. */
const MAX_PEERS_ASKED = 4;
/** Timeout of one peer, in ms: as long as the exchange that waits for the connection. */
const PEER_TIMEOUT_MS = 250;
/** Time without an answer of a peer after which the next one is asked beside it, in ms: many times the way to a peer
 * and on to a server. */
const NEXT_PEER_DELAY_MS = 50;
/** Interval between two checks whether the peers that carry tunnels go on, in ms; they stop within seconds. */
const RETIRE_CHECK_MS = 200;
/** How long a peer that could not connect to a server is asked for it after others, in ms. */
const PEER_PAUSE_MS = 1_000;

/** Dependencies of the dialer. */
export interface TunnelDialerParts {
  clock: Clock;
  random: RandomSource;
  log: Log;
  /** This gateway's availability zone. */
  zone: string;
  /** Peers believed alive. */
  peers(): readonly GatewayState[];
  /** Called when a peer that carries tunnels stops: they are not to be used for further requests. */
  retired(): void;
}

/** Opens tunnels. */
export interface TunnelDialer {
  /** Opens a tunnel to a server; `refused` if all peers that tried were refused. */
  dial(server: RegisteredServer): Promise<Result<TunnelStream, DialFailure>>;
  /** Whether there is a peer to ask. */
  hasPeers: () => boolean;
  /** Forgets which peers could not connect to a server that is gone. */
  forget(server: string): void;
  /** Resets the tunnels through a peer that is lost. */
  peerLost: (node: string) => void;
}

/**
 * Creates a dialer without tunnels.
 *
 * @param parts the peers
 */
export function createTunnelDialer(parts: TunnelDialerParts): TunnelDialer {
  const { clock, random, log, zone } = parts;
  const tunnels = new Map<string, Set<TunnelStream>>();
  /** By server, until when peers are asked after others. */
  const pausedUntil = new Map<string, Map<string, number>>();
  let retireTimer: Timer | undefined;

  function listReady(): GatewayState[] {
    return parts.peers().filter(({ isReady }) => isReady);
  }

  function countTunnels({ node }: GatewayState): number {
    return tunnels.get(node)?.size ?? 0;
  }

  /** Peers to ask, in order: those that add no bytes between zones first, the least used of them before others. */
  function choosePeers(server: RegisteredServer): GatewayState[] {
    const paused = pausedUntil.get(server.id);
    const ranked = listReady().map((peer) => {
      const isNear = peer.zone === zone || peer.zone === server.zone;
      const isPaused = (paused?.get(peer.node) ?? 0) > clock.now();
      const rank = (isPaused ? 2 : 0) + (isNear ? 0 : 1);
      return { peer, rank, load: countTunnels(peer) + random.next() };
    });
    ranked.sort((left, right) => left.rank - right.rank || left.load - right.load);
    return spreadZones(ranked.map(({ peer }) => peer));
  }

  function keep(node: string, tunnel: TunnelStream): void {
    const kept = tunnels.get(node) ?? new Set();
    tunnels.set(node, kept.add(tunnel));
    retireTimer ??= clock.after(RETIRE_CHECK_MS, retire);
    tunnel.on('error', ignoreError);
    tunnel.on('close', () => {
      kept.delete(tunnel);
      if (kept.size === 0) tunnels.delete(node);
    });
  }

  /** Retires the tunnels through peers that stop, before these end and reset them. */
  function retire(): void {
    retireTimer = tunnels.size === 0 ? undefined : clock.after(RETIRE_CHECK_MS, retire);
    const ready = new Set(listReady().map(({ node }) => node));
    let hasRetired = false;
    for (const [node, kept] of tunnels) {
      if (ready.has(node)) continue;
      for (const tunnel of kept) {
        hasRetired ||= !tunnel.isRetiring;
        tunnel.isRetiring = true;
      }
    }
    if (hasRetired) parts.retired();
  }

  async function dialThrough(
    { node, address }: GatewayState,
    server: RegisteredServer,
  ): Promise<Result<TunnelStream, DialFailure>> {
    const result = await openTunnel(clock, `ws://${address}${TUNNEL_PATH}`, server.id);
    if (result.isOk()) {
      keep(node, result.value);
      return result;
    }
    const { kind, reason } = result.error;
    log.write('tunnelFailed', { server: server.id, peer: node, cause: kind, reason });
    const paused = pausedUntil.get(server.id) ?? new Map<string, number>();
    pausedUntil.set(server.id, paused.set(node, clock.now() + PEER_PAUSE_MS));
    return result;
  }

  return {
    dial: (server) =>
      new Promise((resolve) => {
        const waiting = choosePeers(server);
        const failures: DialFailure[] = [];
        let asked = 0;
        let delay: Timer | undefined;
        let isSettled = false;

        function settle(result: Result<TunnelStream, DialFailure>): void {
          isSettled = true;
          delay?.cancel();
          resolve(result);
        }

        async function ask(peer: GatewayState): Promise<void> {
          asked += 1;
          const result = await dialThrough(peer, server);
          if (isSettled) {
            if (result.isOk()) result.value.destroy();
            return;
          }
          if (result.isOk()) {
            settle(result);
            return;
          }
          failures.push(result.error);
          askNext();
        }

        function askNext(): void {
          delay?.cancel();
          const peer = isSettled ? undefined : waiting.shift();
          if (peer !== undefined) {
            ask(peer).catch(threw);
            delay = clock.after(NEXT_PEER_DELAY_MS, askNext);
          } else if (!isSettled && failures.length === asked) {
            settle(Err(combineFailures(failures)));
          }
        }

        function threw(error: unknown): void {
          log.write('decisionFailed', { step: 'tunnel', reason: String(error) });
          settle(Err({ kind: 'unavailable', reason: String(error) }));
        }

        askNext();
      }),
    hasPeers: () => listReady().length > 0,
    forget(server) {
      pausedUntil.delete(server);
    },
    peerLost(node) {
      for (const tunnel of tunnels.get(node) ?? []) {
        tunnel.destroy(createResetError('the gateway that carries the tunnel is lost'));
      }
    },
  };
}

/** A peer that was refused may have lost its own path, so a refusal counts only if nobody has seen anything else. */
function combineFailures(failures: readonly DialFailure[]): DialFailure {
  const tried = failures.filter(({ kind }) => kind !== 'unavailable');
  const silent = tried.find(({ kind }) => kind === 'silent');
  return silent ?? tried[0] ?? failures[0] ?? { kind: 'unavailable', reason: 'no peer to ask' };
}

/** The first peers, with those of zones that are not among them yet moved to the front. */
function spreadZones(ranked: readonly GatewayState[]): GatewayState[] {
  const zones = new Set<string>();
  const first: GatewayState[] = [];
  const others: GatewayState[] = [];
  for (const peer of ranked) {
    if (zones.has(peer.zone)) others.push(peer);
    else first.push(peer);
    zones.add(peer.zone);
  }
  return [...first, ...others].slice(0, MAX_PEERS_ASKED);
}

/** Opens a tunnel at one peer; resolves once the peer has connected to the server. */
function openTunnel(
  clock: Clock,
  url: string,
  server: string,
): Promise<Result<TunnelStream, DialFailure>> {
  return new Promise((resolve) => {
    const webSocket = new WebSocket(`${url}${encodeURIComponent(server)}`, {
      ...boundedHandshake,
      perMessageDeflate: false,
    });
    let isTunnel = false;
    const timer = setPeerTimeout(clock, PEER_TIMEOUT_MS, () => {
      fail('unavailable', `no answer within ${PEER_TIMEOUT_MS} ms`);
    });

    function fail(kind: DialFailure['kind'], reason: string): void {
      timer.cancel();
      resolve(Err({ kind, reason }));
      webSocket.terminate();
    }

    function failed(error: NodeJS.ErrnoException): void {
      fail('unavailable', error.code ?? error.message);
    }

    webSocket.on('error', failed);
    webSocket.on('unexpected-response', (_request, { statusCode, statusMessage }) => {
      fail(resolveTunnelFailure(statusCode), `${statusCode ?? 0} ${statusMessage ?? ''}`);
    });
    webSocket.on('upgrade', ({ headers }) => {
      isTunnel = headers[TUNNEL_HEADER.toLowerCase()] !== undefined;
    });
    webSocket.on('open', () => {
      if (!isTunnel) {
        fail('unavailable', 'the peer carries no tunnels');
        return;
      }
      timer.cancel();
      resolve(Ok(new TunnelStream(webSocket)));
    });
  });
}
