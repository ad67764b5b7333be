/**
 * What this gateway knows of its network paths to backend servers. That this gateway cannot connect says nothing of a
 * server that a peer reaches: it has lost its path, and its connections go through a tunnel until the path is back. A
 * server counts as unreachable only if neither this gateway nor the peers that it asked could connect.
 *
 * A path is found lost by a connection that is slow or fails while a tunnel opens, or, where connections are kept open, by
 * a server's silence followed by a connection that does not open. The first lost path has the others checked at once,
 * since gateways mostly lose several together.
 */
import type { Duplex } from 'node:stream';
import { Err, Ok, type Result } from 'ts-results-es';
import type { Log } from '../events/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import { setPeerTimeout, type Clock, type RandomSource, type Timer } from '../task/index.js';
import { dialAddress, type DialFailure } from './dial.js';
import { createSilenceWatch, type SilenceWatch, type WatchedExchange } from './silence-watch.js';
import type { TunnelDialer } from './tunnel-dialer.js';

/** Connect timeout, in ms; leaves time to try another server within the usual latency objectives. */
export const CONNECT_TIMEOUT_MS = 250;
/** Time after which a tunnel is opened beside a connection that is not open yet, in ms: many times the way to a server
 * and back. */
const TUNNEL_DELAY_MS = 50;
/** Connect timeout when a silent server is checked, in ms. */
const CHECK_TIMEOUT_MS = 100;
/** Least time between two checks of a silent server, in ms. */
const CHECK_INTERVAL_MS = 500;
/** Most servers that are checked at once when a first path is lost; the others are found by their own silence. */
const MAX_CHECKS = 64;
/** First pause before a lost path is tried again, in ms; it doubles with each failed attempt. */
const FIRST_RETRY_MS = 400;
/** Longest pause before a lost path is tried again, in ms. */
const MAX_RETRY_MS = 1_600;
/** Random part of that pause, so that gateways do not try together. */
const RETRY_JITTER = 0.25;
/** How long no tunnel is asked for after peers could not connect either, in ms: all gateways would otherwise ask each
 * other for a server that has ended. */
const TUNNEL_PAUSE_MS = 500;
/** The same after no peer has tried, in ms: they may be busy for a moment. */
const PEERS_PAUSE_MS = 50;

/** By what a path was found lost. */
export type PathSign = 'slow' | 'refused' | 'silent';

/** Dependencies of the paths. */
export interface PathsParts {
  clock: Clock;
  random: RandomSource;
  log: Log;
  metrics: Pick<GatewayMetrics, 'pathsLost' | 'connections'>;
  tunnels: Pick<TunnelDialer, 'dial' | 'hasPeers'>;
  /** Servers to which this gateway has connections. */
  connected(): readonly RegisteredServer[];
  /** Whether a server is still registered. */
  isKnown(server: string): boolean;
  /** Called when the path to a server was lost; `isSilent` if open connections to it may be dead. */
  lost(server: string, isSilent: boolean): void;
}

/** The paths of one gateway. */
export interface Paths {
  /** Connects to a server, by its path or through a tunnel; rejects with the failure of its own attempt. */
  connect(server: RegisteredServer): Promise<Duplex>;
  /** Whether the path to a server is lost. */
  isLost(server: string): boolean;
  /**
   * Watches an exchange with a server.
   *
   * @param abandon ends the exchange if it may be made again elsewhere
   */
  watch(server: RegisteredServer, abandon: () => void): WatchedExchange;
  /** Whether anybody can connect to a server: this gateway or a peer. */
  probe(server: RegisteredServer): Promise<Result<void, DialFailure>>;
  /** Removes a server that is gone. */
  forget(server: string): void;
  close(): void;
}

interface Path {
  isLost: boolean;
  lostAt: number;
  checkedAt: number;
  isChecking: boolean;
  retryMs: number;
  /** No tunnel is asked for before, and why. */
  noTunnelUntil: number;
  noTunnel: DialFailure;
  watch: SilenceWatch | undefined;
  timer: Timer | undefined;
}

/** A connection and how it was made. */
interface Connection {
  stream: Duplex;
  /** Why the path is not used; `undefined` where it is. */
  sign: PathSign | undefined;
}

/**
 * Creates paths that are all taken for good.
 *
 * @param parts the connections and the tunnels
 */
export function createPaths(parts: PathsParts): Paths {
  const { clock, random, log, metrics } = parts;
  const paths = new Map<string, Path>();

  function pathTo(id: string): Path {
    const known = paths.get(id);
    if (known !== undefined) return known;
    const created: Path = {
      isLost: false,
      lostAt: 0,
      checkedAt: Number.NEGATIVE_INFINITY,
      isChecking: false,
      retryMs: FIRST_RETRY_MS,
      noTunnelUntil: 0,
      noTunnel: { kind: 'unavailable', reason: 'no tunnel was tried' },
      watch: undefined,
      timer: undefined,
    };
    paths.set(id, created);
    return created;
  }

  async function dialTunnel(server: RegisteredServer): Promise<Result<Duplex, DialFailure>> {
    const path = pathTo(server.id);
    if (path.noTunnelUntil > clock.now()) return Err(path.noTunnel);
    const result = await parts.tunnels.dial(server);
    metrics.connections.inc({
      path: 'tunnel',
      outcome: result.isOk() ? 'open' : result.error.kind,
    });
    if (result.isErr()) {
      const hasTried = result.error.kind !== 'unavailable';
      path.noTunnelUntil = clock.now() + (hasTried ? TUNNEL_PAUSE_MS : PEERS_PAUSE_MS);
      path.noTunnel = result.error;
    }
    return result;
  }

  async function dialOwn(
    server: RegisteredServer,
    timeoutMs: number,
  ): Promise<Result<Duplex, DialFailure>> {
    const result = await dialAddress(clock, server.address, timeoutMs);
    metrics.connections.inc({ path: 'own', outcome: result.isOk() ? 'open' : result.error.kind });
    return result;
  }

  /**
   * Connects by the own path, and through a tunnel too if that is slow or fails. The first connection is used.
   *
   * @param timeoutMs timeout of the own path, in milliseconds
   */
  function race(
    server: RegisteredServer,
    timeoutMs: number,
  ): Promise<Result<Connection, DialFailure>> {
    return new Promise((resolve) => {
      let isSettled = false;
      let ownFailure: DialFailure | undefined;
      let isTunnelTried = false;
      let tunnelFailure: DialFailure | undefined;

      function settle(result: Result<Connection, DialFailure>): void {
        isSettled = true;
        delay.cancel();
        resolve(result);
      }

      function use(stream: Duplex, sign: PathSign | undefined): void {
        if (isSettled) stream.destroy();
        else settle(Ok({ stream, sign }));
      }

      function failIfBoth(): void {
        if (isSettled || ownFailure === undefined || tunnelFailure === undefined) return;
        settle(Err(combineFailures(ownFailure, tunnelFailure)));
      }

      async function tryTunnel(): Promise<void> {
        if (isSettled || isTunnelTried) return;
        isTunnelTried = true;
        const result = await dialTunnel(server);
        if (result.isOk()) {
          use(result.value, ownFailure?.kind === 'refused' ? 'refused' : 'slow');
          return;
        }
        tunnelFailure = result.error;
        failIfBoth();
      }

      async function tryOwn(): Promise<void> {
        const result = await dialOwn(server, timeoutMs);
        if (result.isOk()) {
          use(result.value, undefined);
          return;
        }
        ownFailure = result.error;
        failIfBoth();
        await tryTunnel();
      }

      function threw(error: unknown): void {
        log.write('decisionFailed', { step: 'connect', reason: String(error) });
        if (!isSettled) settle(Err({ kind: 'silent', reason: String(error) }));
      }

      const delay = setPeerTimeout(clock, TUNNEL_DELAY_MS, () => {
        tryTunnel().catch(threw);
      });
      tryOwn().catch(threw);
    });
  }

  /** A refusal shows that a server has ended only where no peer could have said otherwise. */
  function combineFailures(own: DialFailure, tunnel: DialFailure): DialFailure {
    const isAgreed = tunnel.kind === 'refused' || !parts.tunnels.hasPeers();
    return own.kind === 'refused' && !isAgreed ? { ...own, kind: 'silent' } : own;
  }

  async function connect(server: RegisteredServer): Promise<Duplex> {
    if (pathTo(server.id).isLost) {
      const tunnel = await dialTunnel(server);
      if (tunnel.isOk()) return tunnel.value;
    }
    const result = await race(server, CONNECT_TIMEOUT_MS);
    if (result.isErr()) throw createConnectError(result.error);
    const { stream, sign } = result.value;
    if (sign === undefined) markGood(server.id);
    else markLost(server, sign);
    return stream;
  }

  function markGood(id: string): void {
    const path = paths.get(id);
    if (path?.isLost !== true) return;
    path.isLost = false;
    path.retryMs = FIRST_RETRY_MS;
    path.timer?.cancel();
    updateMetric();
    log.write('pathRestored', { server: id, lostMs: Math.round(clock.now() - path.lostAt) });
  }

  function markLost(server: RegisteredServer, sign: PathSign): void {
    const path = pathTo(server.id);
    if (path.isLost || !parts.isKnown(server.id)) return;
    path.isLost = true;
    path.lostAt = clock.now();
    updateMetric();
    log.write('pathLost', { server: server.id, sign });
    const isSilent = sign !== 'refused';
    parts.lost(server.id, isSilent);
    if (isSilent) path.watch?.abandonSilent();
    scheduleRetry(server, path);
    for (const other of parts.connected().slice(0, MAX_CHECKS)) void check(other);
  }

  function updateMetric(): void {
    let count = 0;
    for (const { isLost } of paths.values()) {
      if (isLost) count += 1;
    }
    metrics.pathsLost.set(count);
  }

  function scheduleRetry(server: RegisteredServer, path: Path): void {
    const pauseMs = path.retryMs * (1 + RETRY_JITTER * random.next());
    path.retryMs = Math.min(MAX_RETRY_MS, path.retryMs * 2);
    path.timer = clock.after(pauseMs, () => void retry(server, path));
  }

  /** Tries a lost path again. */
  async function retry(server: RegisteredServer, path: Path): Promise<void> {
    const result = await dialOwn(server, CHECK_TIMEOUT_MS);
    if (result.isOk()) result.value.destroy();
    if (paths.get(server.id) !== path || !path.isLost) return;
    if (result.isOk()) markGood(server.id);
    else scheduleRetry(server, path);
  }

  /** Checks the path to a server of which nothing is heard, unless that was done shortly before. */
  function checkSilent(server: RegisteredServer): void {
    const path = paths.get(server.id);
    if (path === undefined || clock.now() - path.checkedAt < CHECK_INTERVAL_MS) return;
    void check(server);
  }

  async function check(server: RegisteredServer): Promise<void> {
    const path = pathTo(server.id);
    if (path.isLost || path.isChecking) return;
    path.isChecking = true;
    await probe(server, CHECK_TIMEOUT_MS);
    path.isChecking = false;
    path.checkedAt = clock.now();
  }

  async function probe(
    server: RegisteredServer,
    timeoutMs: number,
  ): Promise<Result<void, DialFailure>> {
    const result = await race(server, timeoutMs);
    if (result.isErr()) return result;
    const { stream, sign } = result.value;
    stream.destroy();
    if (sign === undefined) markGood(server.id);
    // a connection that does not open, behind a server's silence
    else markLost(server, sign === 'slow' ? 'silent' : sign);
    return Ok.EMPTY;
  }

  return {
    connect,
    isLost: (server) => paths.get(server)?.isLost === true,
    watch(server, abandon) {
      const path = pathTo(server.id);
      path.watch ??= createSilenceWatch(clock, () => {
        checkSilent(server);
      });
      return path.watch.started(abandon);
    },
    probe: (server) => probe(server, CONNECT_TIMEOUT_MS),
    forget(server) {
      const path = paths.get(server);
      path?.timer?.cancel();
      path?.watch?.close();
      paths.delete(server);
      if (path?.isLost === true) updateMetric();
    },
    close() {
      for (const { timer, watch } of paths.values()) {
        timer?.cancel();
        watch?.close();
      }
      paths.clear();
    },
  };
}

function createConnectError({ reason }: DialFailure): Error {
  return Object.assign(new Error(reason), { code: reason });
}
