/**
 * Complies with the backpressure signals of backend servers. Signals that apply to all gateways are
 * gossiped to peers at once; anti-entropy on heartbeats repairs differences.
 */
import type { Log } from '../events/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { Clock, RandomSource } from '../task/index.js';
import { createAllowances, type AllowanceMessage, type Allowances } from './allowances.js';
import {
  createServerNotices,
  unpackNotice,
  type NoticeRow,
  type NoticesMessage,
  type ServerNotice,
} from './notices.js';
import { createPauses } from './pauses.js';
import { createSendLimits, type SendLimits } from './send-limits.js';
import type { ServerSignals } from './signals.js';

/** Minimum interval between full tables to the same peer, in ms; gossip under way resolves most
 * differences. */
const SYNC_INTERVAL_MS = 2_000;

/** Dependencies of backpressure. */
export interface BackpressureParts {
  clock: Clock;
  random: RandomSource;
  log: Log;
  metrics: Pick<GatewayMetrics, 'signals'>;
  node: string;
  /** The time of day in ms. */
  timeOfDay: () => number;
  /** The gateway that allocates the limit of a server. */
  allocatorOf(server: string): string;
  /** Number of known gateways, including this one. */
  gateways(): number;
  /** Sends to all gossip partners. */
  broadcast(message: NoticesMessage): void;
  /** Called once for an incarnation that starts to drain. */
  serverLeaving(server: string): void;
  /** Sends to a peer; returns false without a link. */
  send(node: string, message: NoticesMessage | AllowanceMessage): boolean;
}

/** Signals of servers, and the limits and pauses that follow from them. */
export interface Backpressure {
  /**
   * Applies the signals of an answer.
   *
   * @param server the incarnation that answered
   * @param signals the signals
   * @param isSuccess whether the answer is a successful one to this request; only such an answer ends a
   * limit by not containing it
   */
  signalsReceived: (server: RegisteredServer, signals: ServerSignals, isSuccess: boolean) => void;
  /** Remaining time of a server's pause, in ms. */
  msUntilResumed: (server: string) => number;
  /** Servers with a pause in force. */
  paused: () => string[];
  /** Time until a server of a plain service is worth choosing, by its limit and its pause, in ms. */
  msUntilOpen(server: string): number;
  /** Rate limits, for placements and for the Retry-After of declined requests. */
  limits: SendLimits;
  /**
   * Requests an allowance to send one request to a server of a plain service.
   *
   * @param server the incarnation
   * @param isUrgent whether it may use the last room within the limit
   */
  acquireAllowance: Allowances['acquire'];
  received(node: string, message: NoticesMessage | AllowanceMessage): void;
  /** Hash of the notices, equal on gateways with the same ones. */
  digest: () => number;
  /** Compares the digest of a peer, and sends it all notices if they differ. */
  digestReceived: (node: string, digest: number) => void;
  peerLost(node: string): void;
  /** Removes a server that is gone. */
  forget(id: string): void;
}

/**
 * Creates backpressure without signals.
 *
 * @param parts the transport to peers and the handlers of changes
 */
export function createBackpressure(parts: BackpressureParts): Backpressure {
  const { clock, random, log, metrics, node } = parts;
  const notices = createServerNotices(node, parts.timeOfDay);
  const pauses = createPauses(clock, random);
  const limits = createSendLimits({
    clock,
    random,
    limitOf: notices.limitOf,
    isAllocator: (server) => parts.allocatorOf(server) === node,
    gateways: () => parts.gateways(),
  });
  const allowances = createAllowances({
    clock,
    random,
    node,
    limits,
    allocatorOf: (server) => parts.allocatorOf(server),
    noticeOf: (server) => notices.rowOf(server, clock.now()),
    applyNotice(from, row) {
      applyNotice(unpackNotice(row, clock.now()), from);
    },
    send: (to, message) => parts.send(to, message),
  });
  /** When each peer was last sent the full table. */
  const syncedAt = new Map<string, number>();

  function recordUnreadable({ id }: RegisteredServer, { unreadable }: ServerSignals): void {
    for (const { signal, text } of unreadable) {
      metrics.signals.inc({ signal: `unreadable-${signal}` });
      log.write('serverSignalUnreadable', { server: id, signal, text });
    }
  }

  function startPause(server: string, { pauseMs }: ServerSignals): void {
    if (pauseMs === undefined || pauseMs === 0 || pauses.start(server, pauseMs)) return;
    metrics.signals.inc({ signal: 'pause' });
    log.write('serverSignalled', { server, pauseMs, source: 'server' });
  }

  /** Applies a notice; returns whether to send it to other gateways. */
  function applyNotice(notice: ServerNotice, source: string): boolean {
    const { server, isLeaving, limitPerS, at } = notice;
    const wasLeaving = notices.isLeaving(server);
    if (!notices.apply(notice, source !== 'server')) return false;
    const ageMs = Math.round(clock.now() - at);
    log.write('serverSignalled', { server, isLeaving, limitPerS, source, ageMs });
    if (limitPerS !== undefined) metrics.signals.inc({ signal: 'limit' });
    if (!isLeaving || wasLeaving) return true;
    metrics.signals.inc({ signal: 'leaving' });
    parts.serverLeaving(server);
    return true;
  }

  /** Whether the signals of an answer apply to all gateways, or end a limit. */
  function isNotice(id: string, signals: ServerSignals, isSuccess: boolean): boolean {
    const { isLeaving, limitPerS, unreadable } = signals;
    if (isLeaving || limitPerS !== undefined) return true;
    // an unreadable limit does not end the one in force
    const endsLimit = isSuccess && !unreadable.some(({ signal }) => signal === 'limit');
    return endsLimit && notices.limitOf(id) !== undefined;
  }

  function broadcast(rows: readonly NoticeRow[]): void {
    if (rows.length > 0) parts.broadcast({ kind: 'notices', rows: [...rows] });
  }

  /** Sends to the allocating gateway directly, since it may not be a gossip partner. */
  function sendToAllocator(server: string, rows: readonly NoticeRow[]): void {
    const allocator = parts.allocatorOf(server);
    if (allocator !== node) parts.send(allocator, { kind: 'notices', rows: [...rows] });
  }

  return {
    limits,
    msUntilResumed: pauses.remainingMs,
    paused: pauses.list,
    msUntilOpen: (server) => Math.max(pauses.remainingMs(server), allowances.msUntilOpen(server)),
    acquireAllowance: allowances.acquire,
    signalsReceived(server, signals, isSuccess) {
      recordUnreadable(server, signals);
      const { id } = server;
      startPause(id, signals);
      if (!isNotice(id, signals, isSuccess)) return;
      const { isLeaving, limitPerS } = signals;
      const answered = { server: id, isLeaving, limitPerS, at: clock.now(), stamp: undefined };
      if (!applyNotice(answered, 'server')) return;
      const row = notices.rowOf(id, clock.now());
      if (row === undefined) return;
      sendToAllocator(id, [row]);
      broadcast([row]);
    },
    received(from, message) {
      if (message.kind !== 'notices') {
        allowances.received(from, message);
        return;
      }
      const changed: NoticeRow[] = [];
      for (const row of message.rows) {
        if (!applyNotice(unpackNotice(row, clock.now()), from)) continue;
        const current = notices.rowOf(row.server, clock.now());
        // a row without a stamp could go round without end; differences are repaired on heartbeats
        if (current !== undefined && row.stamp !== undefined) changed.push(current);
      }
      broadcast(changed);
    },
    digest: notices.digest,
    digestReceived(from, digest) {
      const now = clock.now();
      if (digest === notices.digest()) return;
      if (now - (syncedAt.get(from) ?? Number.NEGATIVE_INFINITY) < SYNC_INTERVAL_MS) return;
      syncedAt.set(from, now);
      const rows = notices.rows(now);
      if (rows.length > 0) parts.send(from, { kind: 'notices', rows });
    },
    peerLost(peer) {
      syncedAt.delete(peer);
      allowances.peerLost(peer);
    },
    forget(id) {
      notices.forget(id);
      pauses.forget(id);
      limits.forget(id);
      allowances.forget(id);
    },
  };
}
