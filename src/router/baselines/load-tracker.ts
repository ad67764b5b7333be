/**
 * Tracks the load of every backend server by its own report, which is polled. Reports are stale by
 * their age at the server and by the polling interval, so the requests that this node started since
 * a report was made are added to it.
 */
import type { LoadReport, Vm } from '../../ports/index.js';
import type { Clock, Timer } from '../../task/index.js';
import type { Result } from 'ts-results-es';
import type { Failure } from '../../errors/index.js';
import type { Backends } from '../backend.js';

/** Polls in a row without an answer after which a server is excluded until it answers. */
const MAX_FAILED_POLLS = 2;

export interface LoadTracker {
  start(): void;
  stop(): void;
  /** Requests reported by a server plus those that this node started since. */
  loadOf(server: string): number;
  /** Whether the server answered a recent poll, or was never polled. */
  isResponsive(server: string): boolean;
  /** Records that this node started a request on a server. */
  recordStart(server: string): void;
}

export interface LoadTrackerParts {
  clock: Clock;
  /** Polling interval, in milliseconds. */
  intervalMs: number;
  backends: Backends;
  /** Backend servers to poll. */
  servers(): readonly Vm[];
}

interface Entry {
  reported: number;
  failedPolls: number;
  /** Start times of this node's requests since the report was made, on its clock. */
  startedAt: number[];
}

/**
 * Creates a tracker without reports.
 *
 * @param parts the servers to poll and how often
 */
export function createLoadTracker(parts: LoadTrackerParts): LoadTracker {
  const { clock, backends } = parts;
  const entries = new Map<string, Entry>();
  let timer: Timer | undefined;
  let stopped = false;

  function entryOf(server: string): Entry {
    const known = entries.get(server);
    if (known !== undefined) return known;
    const created: Entry = { reported: 0, failedPolls: 0, startedAt: [] };
    entries.set(server, created);
    return created;
  }

  function fetchLoad(vm: Vm): Promise<Result<LoadReport, Failure>> {
    if (vm.kind === 'model-engine') return backends.engine(vm.id, vm.address).load();
    return backends.service(vm.id, vm.address).load();
  }

  async function poll(vm: Vm): Promise<void> {
    const report = await fetchLoad(vm);
    const entry = entryOf(vm.id);
    if (report.isErr()) {
      entry.failedPolls += 1;
      return;
    }
    const { running, waiting, ageMs } = report.value;
    const madeAt = clock.now() - ageMs;
    entry.failedPolls = 0;
    entry.reported = running + waiting;
    entry.startedAt = entry.startedAt.filter((time) => time > madeAt);
  }

  function pollAll(): void {
    for (const vm of parts.servers()) {
      void poll(vm);
    }
    if (!stopped) timer = clock.after(parts.intervalMs, pollAll);
  }

  return {
    start: pollAll,
    stop() {
      stopped = true;
      timer?.cancel();
    },
    loadOf(server) {
      const entry = entries.get(server);
      return entry === undefined ? 0 : entry.reported + entry.startedAt.length;
    },
    isResponsive: (server) => (entries.get(server)?.failedPolls ?? 0) < MAX_FAILED_POLLS,
    recordStart(server) {
      entryOf(server).startedAt.push(clock.now());
    },
  };
}
