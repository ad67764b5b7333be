/**
 * Distinguishes a server crash from a lost answer. A cut link, a reset connection, a corrupt answer and a drain look
 * alike to the gateway. A server has crashed if its address refuses connections, if another incarnation has replaced
 * it, or if its registry entry lapses while it is unreachable.
 */
import type { Log } from '../events/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import { wait, type Clock } from '../task/index.js';

/** How long a lost answer waits for evidence of a crash, in ms: longer than a registry entry takes to lapse. */
const EVIDENCE_MS = 8_000;
/** Delay before a server that accepted the first connection is dialled again, in ms: while it shuts down it may still
 * accept connections. */
const RECHECK_MS = 50;
/** Limit of lost answers that wait for evidence, per server; above the number of requests that one server runs. */
const MAX_LOSSES = 256;

/** Result of dialling a server. */
export type ProbeAnswer = 'open' | 'refused' | 'silent';

/** Dials servers. */
export interface ServerProbe {
  /** Opens a connection to a server and closes it at once. `refused` and `silent` hold for every gateway that could
   * be asked, since this one may have lost its path. */
  dial(server: RegisteredServer): Promise<ProbeAnswer>;
}

/** Evidence that a server has crashed. */
export type CrashSign = 'refused' | 'restarted' | 'lapsed';

/** Dependencies of the crash detector. */
export interface CrashDetectorParts<Loss> {
  clock: Clock;
  log: Log;
  probe: ServerProbe;
  /** Called for each lost answer whose server has crashed. */
  confirmed(loss: Loss, server: RegisteredServer, sign: CrashSign): void;
}

/** Collects lost answers until it is known whether their server has crashed. */
export interface CrashDetector<Loss> {
  /**
   * Records that the connection to a server ended during a request.
   *
   * @returns resolves once the server was dialled, and the loss confirmed if that showed a crash
   */
  lost(server: RegisteredServer, loss: Loss): Promise<void>;
  /**
   * Records that a server's entry was removed from the registry.
   *
   * @param hasSuccessor whether another incarnation has replaced the server
   */
  removed: (id: string, hasSuccessor: boolean) => void;
}

interface SuspectedServer<Loss> {
  server: RegisteredServer;
  losses: Loss[];
  lostAt: number;
  /** The running check, if any. */
  dialling: Promise<void> | undefined;
  /** Set once the server is known to have crashed. */
  sign: CrashSign | undefined;
}

/**
 * Creates a crash detector.
 *
 * @param parts the probe and the callback for confirmed crashes
 */
export function createCrashDetector<Loss>(parts: CrashDetectorParts<Loss>): CrashDetector<Loss> {
  const { clock, log } = parts;
  const suspects = new Map<string, SuspectedServer<Loss>>();

  function evictExpired(): void {
    const before = clock.now() - EVIDENCE_MS;
    for (const [id, { lostAt }] of suspects) {
      if (lostAt < before) suspects.delete(id);
    }
  }

  function getOrCreateSuspect(server: RegisteredServer): SuspectedServer<Loss> {
    const existing = suspects.get(server.id);
    if (existing !== undefined) return existing;
    const created: SuspectedServer<Loss> = {
      server,
      losses: [],
      lostAt: clock.now(),
      dialling: undefined,
      sign: undefined,
    };
    suspects.set(server.id, created);
    return created;
  }

  function confirmCrash(suspect: SuspectedServer<Loss>, sign: CrashSign): void {
    const { server, losses } = suspect;
    suspect.sign = sign;
    suspect.losses = [];
    log.write('serverEnded', { server: server.id, sign, requests: losses.length });
    for (const loss of losses) {
      parts.confirmed(loss, server, sign);
    }
  }

  async function dialTwice(server: RegisteredServer): Promise<ProbeAnswer> {
    const first = await parts.probe.dial(server);
    if (first !== 'open') return first;
    await wait(clock, RECHECK_MS);
    return parts.probe.dial(server);
  }

  async function check(suspect: SuspectedServer<Loss>): Promise<void> {
    const count = suspect.losses.length;
    const answer = await dialTwice(suspect.server);
    if (suspect.sign !== undefined) return;
    if (answer === 'refused') {
      confirmCrash(suspect, 'refused');
      return;
    }
    // a server that accepts connections did not crash under the requests that were lost before it was dialled
    const lostMeanwhile = suspect.losses.slice(count);
    if (answer === 'open') suspect.losses = lostMeanwhile;
    // requests lost during the dial may have been lost after the server accepted it
    if (lostMeanwhile.length > 0) await check(suspect);
  }

  return {
    lost(server, loss) {
      evictExpired();
      const suspect = getOrCreateSuspect(server);
      suspect.lostAt = clock.now();
      if (suspect.sign !== undefined) {
        parts.confirmed(loss, server, suspect.sign);
        return Promise.resolve();
      }
      if (suspect.losses.length < MAX_LOSSES) suspect.losses.push(loss);
      suspect.dialling ??= check(suspect).finally(() => {
        suspect.dialling = undefined;
      });
      return suspect.dialling;
    },
    removed(id, hasSuccessor) {
      evictExpired();
      const suspect = suspects.get(id);
      if (suspect === undefined || suspect.sign !== undefined) return;
      if (suspect.losses.length > 0) confirmCrash(suspect, hasSuccessor ? 'restarted' : 'lapsed');
    },
  };
}
