/**
 * A node's copy of the configuration. It only moves forward and without gaps, by three ways: it
 * polls the head row in the table, peers push new changes to it, and it catches up at once when a
 * message from a peer carries a newer version than its own.
 *
 * The third is the rule of "Transactional-Turn Causal Consistency" that a message does not overtake
 * an update: work decided under a configuration is not looked at under an older one. Because every
 * change has a place in one log, a single version number stands for the vector of the paper.
 */
import type { Log } from '../events/index.js';
import type { Metrics } from '../metrics/index.js';
import type { TableService } from '../ports/index.js';
import type { Settings } from '../settings/index.js';
import type { Clock, RandomSource, Timer } from '../task/index.js';
import type { Change, ChangeBatch } from './objects.js';
import {
  applyChanges,
  createSnapshot,
  emptySnapshot,
  selectNext,
  type ConfigurationSnapshot,
} from './snapshot.js';
import { readHead, readLog, readState } from './table-records.js';

/** Changes that are kept in memory for peers that are a little behind. */
const KEPT_CHANGES = 2_000;

/** How long `caughtUp` waits, in milliseconds. */
const CATCH_UP_BOUND_MS = 2_000;

/** After a catch-up that did not get far enough, messages start no other for this long. */
const CATCH_UP_PAUSE_MS = 100;

const POLL_JITTER_SHARE = 0.2;

/** What a replica is made of. */
export interface ReplicaParts {
  table: TableService;
  clock: Clock;
  random: RandomSource;
  log: Log;
  metrics: Pick<Metrics, 'configurationVersion'>;
  terms: Settings['configuration'];
  /** Asks any peer for the changes after a version; `undefined` when none answered. Never rejects. */
  fetch(after: number): Promise<ChangeBatch | undefined>;
  /** Hands newly learnt changes to peers. */
  push(changes: Change[]): void;
  /** Hears of every new configuration in force. */
  onChange(snapshot: ConfigurationSnapshot): void;
}

/** A node's copy of the configuration. */
export interface ConfigurationReplica {
  /**
   * Takes the state from the table, or from a peer when the table does not answer, and begins to
   * follow. Resolves after this first attempt, whether or not it worked; `isFresh` tells.
   */
  start(): Promise<void>;
  stop(): void;
  /** The configuration in force here. */
  current(): ConfigurationSnapshot;
  /**
   * False until a first configuration was taken, and while neither table nor peer was heard for
   * `staleAfterMs`; then no new work may be taken.
   */
  isFresh(): boolean;
  /** Takes changes that a peer pushed; newly learnt ones are pushed on. */
  receive(changes: readonly Change[]): void;
  /** Takes note of the version that a peer's message carried, and catches up when behind. */
  versionReceived(version: number): void;
  /** What a peer that has a version still lacks. */
  changesAfter(version: number): ChangeBatch;
  /** Resolves true once a version is in force here, false after a bound of two seconds. */
  caughtUp(version: number): Promise<boolean>;
}

interface Waiter {
  version: number;
  timer: Timer;
  resolve(reached: boolean): void;
}

/**
 * Creates a replica. It does nothing until it is started or given changes.
 *
 * @param parts what it is made of
 */
export function createConfigurationReplica(parts: ReplicaParts): ConfigurationReplica {
  const { table, clock, random, log, metrics, terms } = parts;
  let snapshot = emptySnapshot;
  let recent: Change[] = [];
  let loaded = false;
  let stopped = false;
  let lastHeardAt = -Infinity;
  let staleReported = false;
  let pollTimer: Timer | undefined;
  let running: Promise<void> | undefined;
  let pausedUntil = -Infinity;
  const waiters = new Set<Waiter>();

  function putInForce(next: ConfigurationSnapshot): void {
    snapshot = next;
    loaded = true;
    metrics.configurationVersion.set(next.version);
    log.write('configurationApplied', { version: next.version });
    settleWaiters();
    parts.onChange(next);
  }

  /** Takes what follows without a gap and tells what was new. */
  function takeChanges(changes: readonly Change[]): Change[] {
    const next = stopped ? [] : selectNext(snapshot.version, changes);
    if (next.length === 0) return next;
    recent = [...recent, ...next].slice(-KEPT_CHANGES);
    putInForce(applyChanges(snapshot, next));
    return next;
  }

  function takeState(changes: readonly Change[], version: number): void {
    if (stopped || (loaded && version <= snapshot.version)) return;
    recent = [];
    putInForce(createSnapshot(changes, version));
  }

  function settleWaiters(): void {
    for (const waiter of waiters) {
      if (waiter.version <= snapshot.version) finishWaiter(waiter, true);
    }
  }

  function finishWaiter(waiter: Waiter, reached: boolean): void {
    waiters.delete(waiter);
    waiter.timer.cancel();
    waiter.resolve(reached);
  }

  function noteHeard(): void {
    lastHeardAt = clock.now();
    staleReported = false;
  }

  async function followTable(): Promise<boolean> {
    const head = await readHead(table);
    if (head.isErr()) return reportUnreadable(head.error);
    noteHeard();
    if (loaded && head.value.version <= snapshot.version) return true;
    if (!loaded) return loadState();
    const changes = await readLog(table, snapshot.version);
    if (changes.isErr()) return reportUnreadable(changes.error);
    pushNew(takeChanges(changes.value));
    return snapshot.version >= head.value.version || loadState();
  }

  async function loadState(): Promise<boolean> {
    const state = await readState(table);
    if (state.isErr()) return reportUnreadable(state.error);
    noteHeard();
    takeState(state.value.changes, state.value.version);
    return true;
  }

  function reportUnreadable(failure: { code: string; message: string }): false {
    log.write('configurationUnreadable', { code: failure.code, message: failure.message });
    return false;
  }

  async function followPeer(): Promise<void> {
    const batch = await parts.fetch(snapshot.version);
    if (batch === undefined) return;
    // A peer without any configuration may itself be starting: its word is no sign of freshness.
    if (batch.newest === 0) return;
    noteHeard();
    if (batch.compacted) takeState(batch.changes, batch.newest);
    else pushNew(takeChanges(batch.changes));
  }

  function pushNew(changes: Change[]): void {
    if (changes.length > 0) parts.push(changes);
  }

  /** One catch-up at a time: from a peer first, which costs the table nothing. */
  function catchUp(wanted: number): void {
    if (running !== undefined || stopped || clock.now() < pausedUntil) return;
    running = (async () => {
      await followPeer();
      if (snapshot.version < wanted) await followTable();
      if (snapshot.version < wanted) pausedUntil = clock.now() + CATCH_UP_PAUSE_MS;
    })().finally(() => {
      running = undefined;
      catchUpForWaiters();
    });
  }

  function catchUpForWaiters(): void {
    for (const waiter of waiters) {
      if (waiter.version > snapshot.version) {
        catchUp(waiter.version);
        return;
      }
    }
  }

  async function poll(): Promise<void> {
    const reached = await followTable();
    if (!reached) await followPeer();
    if (isFresh() || staleReported || !loaded) return;
    staleReported = true;
    log.write('configurationStale', { version: snapshot.version });
  }

  function schedulePoll(): void {
    if (stopped) return;
    const jitter = 1 + POLL_JITTER_SHARE * (random.next() - 0.5);
    pollTimer = clock.after(terms.followEveryMs * jitter, () => {
      void poll().finally(schedulePoll);
    });
  }

  function isFresh(): boolean {
    return loaded && clock.now() - lastHeardAt <= terms.staleAfterMs;
  }

  function caughtUp(version: number): Promise<boolean> {
    if (version <= snapshot.version) return Promise.resolve(true);
    return new Promise((resolve) => {
      const timer = clock.after(CATCH_UP_BOUND_MS, () => {
        finishWaiter(waiter, false);
      });
      const waiter: Waiter = { version, timer, resolve };
      waiters.add(waiter);
      catchUp(version);
    });
  }

  return {
    async start() {
      await poll();
      schedulePoll();
    },
    stop() {
      stopped = true;
      pollTimer?.cancel();
      for (const waiter of waiters) finishWaiter(waiter, false);
    },
    current: () => snapshot,
    isFresh,
    receive(changes) {
      if (stopped) return;
      noteHeard();
      pushNew(takeChanges(changes));
      const newest = changes.at(-1)?.version ?? 0;
      if (newest > snapshot.version) catchUp(newest);
    },
    versionReceived(version) {
      if (version > 0) noteHeard();
      if (version > snapshot.version) catchUp(version);
    },
    changesAfter(version) {
      const newest = snapshot.version;
      if (version >= newest) return { changes: [], newest, compacted: false };
      const tail = selectNext(version, recent);
      if (tail.length === newest - version) return { changes: tail, newest, compacted: false };
      const changes = [...snapshot.changes.values()];
      changes.sort((left, right) => left.version - right.version);
      return { changes, newest, compacted: true };
    },
    caughtUp,
  };
}
