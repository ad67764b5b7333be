/**
 * Keeps this gateway to what backend servers ask of those that send to them. What binds all gateways is told to peers at
 * once, and again with the first heartbeat where two know different things.
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

/** A peer that knows something else is sent this gateway's table at most so often, in ms: news still under way settles
 * most differences by itself. */
const COMPARE_MS = 2_000;

/** What it needs. */
export interface BackpressureParts {
  clock: Clock;
  random: RandomSource;
  log: Log;
  metrics: Pick<GatewayMetrics, 'signals'>;
  node: string;
  /** The gateway that allocates the limit of a server. */
  allocatorOf(server: string): string;
  /** Gateways that are known, this one included. */
  gateways(): number;
  /** Tells all partners. */
  broadcast(message: NoticesMessage): void;
  /** A server has come to be known to leave. */
  serverLeaving(server: string): void;
  /** Sends to a peer; false where there is no way to it. */
  send(node: string, message: NoticesMessage | AllowanceMessage): boolean;
}

/** What servers have asked for, and room for sends to them. */
export interface Backpressure {
  /**
   * Takes in what an answer of a server asks for.
   *
   * @param server the incarnation that answered
   * @param signals what it asks for
   * @param isSound whether it is a good answer to a request: only that ends a limit which it doesn't name
   */
  signalsReceived: (server: RegisteredServer, signals: ServerSignals, isSound: boolean) => void;
  /** Time until a server may be sent anything after it has asked this gateway to pause, in ms. */
  msUntilResumed: (server: string) => number;
  /** Servers that have asked this gateway to pause. */
  paused: () => string[];
  /** Time until a server of a plain service is worth choosing, by its limit and its pause, in ms. */
  msUntilOpen(server: string): number;
  /** Room within the limits, for placements and for callers that are turned away. */
  limits: SendLimits;
  /**
   * Asks for leave to send one request to a server of a plain service.
   *
   * @param server the incarnation
   * @param isUrgent whether it may take the last room
   */
  acquireAllowance: Allowances['acquire'];
  received(node: string, message: NoticesMessage | AllowanceMessage): void;
  /** A number that is the same in all gateways that know the same. */
  digest: () => number;
  /** A peer has said its number. */
  digestReceived: (node: string, digest: number) => void;
  peerLost(node: string): void;
  /** A server is gone. */
  forget(id: string): void;
}

/**
 * Creates a record of nothing.
 *
 * @param parts the way to peers, and who hears of changes
 */
export function createBackpressure(parts: BackpressureParts): Backpressure {
  const { clock, random, log, metrics, node } = parts;
  const notices = createServerNotices();
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
      learn(unpackNotice(row, clock.now()), from);
    },
    send: (to, message) => parts.send(to, message),
  });
  /** When each peer was last sent the whole table. */
  const comparedAt = new Map<string, number>();

  function noteUnreadable({ id }: RegisteredServer, { unreadable }: ServerSignals): void {
    for (const { signal, text } of unreadable) {
      metrics.signals.inc({ signal: `unreadable-${signal}` });
      log.write('serverSignalUnreadable', { server: id, signal, text });
    }
  }

  function notePause(server: string, { pauseMs }: ServerSignals): void {
    if (pauseMs === undefined || pauseMs === 0 || pauses.start(server, pauseMs)) return;
    metrics.signals.inc({ signal: 'pause' });
    log.write('serverSignalled', { server, pauseMs, source: 'server' });
  }

  /** Takes a notice in; tells whether it is news. */
  function learn(notice: ServerNotice, source: string): boolean {
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

  /** Whether an answer says something that binds all, or ends a limit. */
  function isNotice(id: string, signals: ServerSignals, isSound: boolean): boolean {
    const { isLeaving, limitPerS, unreadable } = signals;
    if (isLeaving || limitPerS !== undefined) return true;
    // a limit that can't be read is still one
    const isOver = isSound && !unreadable.some(({ signal }) => signal === 'limit');
    return isOver && notices.limitOf(id) !== undefined;
  }

  function tell(rows: readonly NoticeRow[]): void {
    if (rows.length > 0) parts.broadcast({ kind: 'notices', rows: [...rows] });
  }

  /** The allocating gateway needs it first, and may be no partner. */
  function tellAllocator(server: string, rows: readonly NoticeRow[]): void {
    const allocator = parts.allocatorOf(server);
    if (allocator !== node) parts.send(allocator, { kind: 'notices', rows: [...rows] });
  }

  return {
    limits,
    msUntilResumed: pauses.remainingMs,
    paused: pauses.list,
    msUntilOpen: (server) => Math.max(pauses.remainingMs(server), allowances.msUntilOpen(server)),
    acquireAllowance: allowances.acquire,
    signalsReceived(server, signals, isSound) {
      noteUnreadable(server, signals);
      const { id } = server;
      notePause(id, signals);
      if (!isNotice(id, signals, isSound)) return;
      const { isLeaving, limitPerS } = signals;
      if (!learn({ server: id, isLeaving, limitPerS, at: clock.now() }, 'server')) return;
      const row = notices.rowOf(id, clock.now());
      if (row === undefined) return;
      tellAllocator(id, [row]);
      tell([row]);
    },
    received(from, message) {
      if (message.kind !== 'notices') {
        allowances.received(from, message);
        return;
      }
      const news: NoticeRow[] = [];
      for (const row of message.rows) {
        if (learn(unpackNotice(row, clock.now()), from)) news.push(row);
      }
      tell(news);
    },
    digest: notices.digest,
    digestReceived(from, digest) {
      const now = clock.now();
      if (digest === notices.digest()) return;
      if (now - (comparedAt.get(from) ?? Number.NEGATIVE_INFINITY) < COMPARE_MS) return;
      comparedAt.set(from, now);
      const rows = notices.rows(now);
      if (rows.length > 0) parts.send(from, { kind: 'notices', rows });
    },
    peerLost(peer) {
      comparedAt.delete(peer);
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
