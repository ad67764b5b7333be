/**
 * The drain of a gateway that stops: it serves until its callers have moved to other gateways, then finishes what is in
 * flight, all within the grace period. It ends as soon as nobody comes any more, since a fleet that is restarted in turn
 * is short of every gateway that only waits.
 */
import type { Front } from '../relay/index.js';
import { wait, type Clock } from '../task/index.js';
import type { FleetBounds } from './settings.js';

/** End of the grace period in which requests that are still at work are ended and connections closed, in ms, so that the
 * process exits before it is killed. */
const CLOSING_MS = 600;
/** Upper bound of that time as a share of the grace period: what still runs in the last sixth may be left unfinished. */
const CLOSING_SHARE = 1 / 6;
/** Time before the end of the grace period by which requests have to end, as a multiple of the closing time: as long
 * again is left for answers that come late. */
const FINISHING_FACTOR = 2;
/** How long a stopping gateway accepts every request, in ms. Requests that callers send within three seconds of
 * the stop signal may fail with the process, later ones may not. */
const ACCEPT_ALL_MS = 2_500;
/** Upper bound of that time as a share of the grace period. */
const ACCEPT_ALL_SHARE = 0.3;
/** Poll interval while stopping, in ms. */
const STOP_POLL_MS = 50;
/** Time without a request after which callers count as gone, in ms; well above the time in which peers hear of the
 * stop, and then no longer name this gateway. */
const QUIET_MS = 500;

/** What ended the time in which a stopping gateway serves. */
export type DrainEnd = 'callers-moved' | 'grace-period';

/** Dependencies of a drain. */
export interface DrainingParts {
  clock: Clock;
  bounds(): Pick<FleetBounds, 'graceMs'>;
  front(): Pick<Front, 'inFlight' | 'received'>;
  /** Connections that are carried for peers. */
  tunnels(): number;
  /** How long callers use an answer of the directory, in ms. */
  directoryTtlMs(): number;
}

/** The drain of one gateway. */
export interface Draining {
  isStopping: () => boolean;
  /**
   * Begins the drain.
   *
   * @param askedAt when the stop was asked for, from which the grace period counts, in ms on the clock
   */
  begin(askedAt: number): void;
  /**
   * Whether a request may be accepted. A stopping gateway accepts all for a while, since callers learn of the
   * stop with delay; after that only those whose time limit ends within the grace period.
   *
   * @param leftMs what is left of the request's time limit, in milliseconds
   */
  canFinish: (leftMs: number) => boolean;
  /** Waits until callers have moved to other gateways, or the grace period is about to end. */
  callersMoved(): Promise<DrainEnd>;
  /** Waits until nothing is in flight, or what is has to be ended. */
  finished(): Promise<void>;
  /** How long closing may take after that, in ms. */
  closingMs: () => number;
}

/**
 * Creates the drain of a gateway that runs.
 *
 * @param parts the clock, the grace period and what is still at work
 */
export function createDraining(parts: DrainingParts): Draining {
  const { clock } = parts;
  let stoppingAt = Number.POSITIVE_INFINITY;

  function stoppingForMs(): number {
    return clock.now() - stoppingAt;
  }

  function closingMs(): number {
    return Math.min(CLOSING_MS, parts.bounds().graceMs * CLOSING_SHARE);
  }

  /** When the last requests have to end, in ms after the stop was asked for. */
  function lastEndMs(): number {
    return parts.bounds().graceMs - closingMs() * FINISHING_FACTOR;
  }

  function isAtWork(): boolean {
    return parts.front().inFlight() > 0 || parts.tunnels() > 0;
  }

  return {
    isStopping: () => Number.isFinite(stoppingAt),
    begin(askedAt) {
      stoppingAt = askedAt;
    },
    canFinish(leftMs) {
      const { graceMs } = parts.bounds();
      if (stoppingForMs() < Math.min(ACCEPT_ALL_MS, graceMs * ACCEPT_ALL_SHARE)) return true;
      return stoppingForMs() + leftMs < lastEndMs();
    },
    async callersMoved() {
      // whoever asked the directory before the stop may come until its answer expires
      const leastMs = parts.directoryTtlMs() + QUIET_MS;
      let received = parts.front().received();
      let quietSinceMs = stoppingForMs();
      while (stoppingForMs() < lastEndMs()) {
        await wait(clock, STOP_POLL_MS);
        if (isAtWork() || parts.front().received() !== received) quietSinceMs = stoppingForMs();
        received = parts.front().received();
        const isQuiet = stoppingForMs() - quietSinceMs >= QUIET_MS;
        if (isQuiet && stoppingForMs() >= leastMs) return 'callers-moved';
      }
      return 'grace-period';
    },
    async finished() {
      while (isAtWork() && stoppingForMs() < parts.bounds().graceMs - closingMs()) {
        await wait(clock, STOP_POLL_MS);
      }
    },
    closingMs,
  };
}
