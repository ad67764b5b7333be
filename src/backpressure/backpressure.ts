/**
 * What backend servers have asked of those that send to them.
 */
import type { Log } from '../events/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { ServerSignals } from './signals.js';

/** What it needs. */
export interface BackpressureParts {
  log: Log;
  metrics: Pick<GatewayMetrics, 'signals'>;
}

/** What servers have asked for. */
export interface Backpressure {
  /**
   * Takes in what an answer of a server asks for.
   *
   * @param server the incarnation that answered
   * @param signals what it asks for
   */
  heard: (server: RegisteredServer, signals: ServerSignals) => void;
  /** A server is gone. */
  forget(id: string): void;
}

/**
 * Creates a record of nothing.
 *
 * @param parts who hears of changes
 */
export function createBackpressure(parts: BackpressureParts): Backpressure {
  const { log, metrics } = parts;
  /** By incarnation, what it said last. */
  const known = new Map<string, string>();

  function noteUnreadable({ id }: RegisteredServer, { unreadable }: ServerSignals): void {
    for (const { signal, text } of unreadable) {
      metrics.signals.inc({ signal: `unreadable-${signal}` });
      log.write('serverSignalUnreadable', { server: id, signal, text });
    }
  }

  return {
    heard(server, signals) {
      noteUnreadable(server, signals);
      const { isLeaving, pauseMs, limitPerS } = signals;
      const said = `${isLeaving}/${pauseMs ?? ''}/${limitPerS ?? ''}`;
      if (said === (known.get(server.id) ?? 'false//')) return;
      known.set(server.id, said);
      log.write('serverSignalled', { server: server.id, isLeaving, pauseMs, limitPerS });
      if (isLeaving) metrics.signals.inc({ signal: 'leaving' });
      if (pauseMs !== undefined) metrics.signals.inc({ signal: 'pause' });
      if (limitPerS !== undefined) metrics.signals.inc({ signal: 'limit' });
    },
    forget(id) {
      known.delete(id);
    },
  };
}
