/**
 * Tells the end of a server from a lost answer. A cut link, a reset connection, a spoilt answer and a drain look
 * alike to the one who waits: what shows that a server has ended is that nobody listens at its address any more, that
 * another incarnation has taken its place, or that its entry lapses while nobody could reach it.
 */
import type { Log } from '../events/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import { wait, type Clock } from '../task/index.js';

/** How long a lost answer waits for evidence, in ms: an entry lapses after some heartbeats of silence. */
const EVIDENCE_MS = 8_000;
/** A server that was reached is dialled once more after so long, in ms: one that is just ending may still accept. */
const RECHECK_MS = 50;
/** Lost answers of one server that wait at most: more than a server runs at once. */
const MAX_LOSSES = 256;

/** What somebody who dials a server finds. */
export type ProbeAnswer = 'open' | 'refused' | 'silent';

/** Dials servers. */
export interface ServerProbe {
  /**
   * Dials a server and hangs up at once.
   *
   * @param address `host:port`
   */
  dial(address: string): Promise<ProbeAnswer>;
}

/** What showed that a server had ended. */
export type CrashSign = 'refused' | 'restarted' | 'lapsed';

/** What the evidence needs. */
export interface CrashDetectorParts<Loss> {
  clock: Clock;
  log: Log;
  probe: ServerProbe;
  /** A server has ended while this was at work there. */
  confirmed(loss: Loss, server: RegisteredServer, sign: CrashSign): void;
}

/** Collects lost answers until it is known whether their server has ended. */
export interface CrashDetector<Loss> {
  /**
   * The connection to a server ended while something was at work there.
   *
   * @returns fulfilled once the server was dialled, and the loss confirmed if that showed its end
   */
  lost(server: RegisteredServer, loss: Loss): Promise<void>;
  /**
   * The registry has no entry of a server any more.
   *
   * @param hasSuccessor whether another incarnation has taken its place
   */
  removed: (id: string, hasSuccessor: boolean) => void;
}

interface Suspicion<Loss> {
  server: RegisteredServer;
  losses: Loss[];
  lostAt: number;
  /** While it is dialled. */
  dialling: Promise<void> | undefined;
  /** What showed that it has ended. */
  sign: CrashSign | undefined;
}

/**
 * Creates the collection.
 *
 * @param parts how to look, and who hears
 */
export function createCrashDetector<Loss>(parts: CrashDetectorParts<Loss>): CrashDetector<Loss> {
  const { clock, log } = parts;
  const suspicions = new Map<string, Suspicion<Loss>>();

  function forgetOld(): void {
    const before = clock.now() - EVIDENCE_MS;
    for (const [id, { lostAt }] of suspicions) {
      if (lostAt < before) suspicions.delete(id);
    }
  }

  function suspicionOf(server: RegisteredServer): Suspicion<Loss> {
    const known = suspicions.get(server.id);
    if (known !== undefined) return known;
    const created: Suspicion<Loss> = {
      server,
      losses: [],
      lostAt: clock.now(),
      dialling: undefined,
      sign: undefined,
    };
    suspicions.set(server.id, created);
    return created;
  }

  function end(suspicion: Suspicion<Loss>, sign: CrashSign): void {
    const { server, losses } = suspicion;
    suspicion.sign = sign;
    suspicion.losses = [];
    log.write('serverEnded', { server: server.id, sign, requests: losses.length });
    for (const loss of losses) {
      parts.confirmed(loss, server, sign);
    }
  }

  async function dialTwice(address: string): Promise<ProbeAnswer> {
    const first = await parts.probe.dial(address);
    if (first !== 'open') return first;
    await wait(clock, RECHECK_MS);
    return parts.probe.dial(address);
  }

  async function dial(suspicion: Suspicion<Loss>): Promise<void> {
    const count = suspicion.losses.length;
    const answer = await dialTwice(suspicion.server.address);
    if (suspicion.sign !== undefined) return;
    if (answer === 'refused') {
      end(suspicion, 'refused');
      return;
    }
    // whose answer was lost before the server was reached has not ended it
    const waiting = suspicion.losses.slice(count);
    if (answer === 'open') suspicion.losses = waiting;
    // what was lost while it was dialled may have been lost after that
    if (waiting.length > 0) await dial(suspicion);
  }

  return {
    lost(server, loss) {
      forgetOld();
      const suspicion = suspicionOf(server);
      suspicion.lostAt = clock.now();
      if (suspicion.sign !== undefined) {
        parts.confirmed(loss, server, suspicion.sign);
        return Promise.resolve();
      }
      if (suspicion.losses.length < MAX_LOSSES) suspicion.losses.push(loss);
      suspicion.dialling ??= dial(suspicion).finally(() => {
        suspicion.dialling = undefined;
      });
      return suspicion.dialling;
    },
    removed(id, hasSuccessor) {
      forgetOld();
      const suspicion = suspicions.get(id);
      if (suspicion === undefined || suspicion.sign !== undefined) return;
      if (suspicion.losses.length > 0) end(suspicion, hasSuccessor ? 'restarted' : 'lapsed');
    },
  };
}
