/**
 * What one node knows of the load of every backend server: each server's own report, read once in a
 * while. A report lags twice, at the server and here, so the requests that this node itself began
 * since the report was made are counted on top of it.
 */
import type { LoadReport, Vm } from '../../ports/index.js';
import type { Clock, Timer } from '../../task/index.js';
import type { Result } from 'ts-results-es';
import type { Failure } from '../../errors/index.js';
import type { Backends } from '../backend.js';

/** A server that did not answer so often in a row is left out until it does. */
const MAX_SILENCES = 2;

/** Loads of servers, as last reported. */
export interface LoadTracker {
  start(): void;
  stop(): void;
  /** Requests on a server: the reported ones and this node's own since; 0 before any report. */
  loadOf(server: string): number;
  /** Whether the server answered lately, or was never asked. */
  isResponsive(server: string): boolean;
  /** Notes that this node began a request on a server. */
  recordStart(server: string): void;
}

/** What a load board needs. */
export interface LoadTrackerParts {
  clock: Clock;
  /** Time between two reads of a server's report, in milliseconds. */
  intervalMs: number;
  backends: Backends;
  /** Backend servers to ask. */
  servers(): readonly Vm[];
}

interface Entry {
  reported: number;
  silences: number;
  /** When this node began requests that the report cannot know of, on its clock. */
  begunAt: number[];
}

/**
 * Creates a board that has heard nothing.
 *
 * @param parts whom to ask and how often
 */
export function createLoadTracker(parts: LoadTrackerParts): LoadTracker {
  const { clock, backends } = parts;
  const entries = new Map<string, Entry>();
  let timer: Timer | undefined;
  let stopped = false;

  function entryOf(server: string): Entry {
    const known = entries.get(server);
    if (known !== undefined) return known;
    const created: Entry = { reported: 0, silences: 0, begunAt: [] };
    entries.set(server, created);
    return created;
  }

  function askLoad(vm: Vm): Promise<Result<LoadReport, Failure>> {
    if (vm.kind === 'model-engine') return backends.engine(vm.id, vm.address).load();
    return backends.service(vm.id, vm.address).load();
  }

  async function read(vm: Vm): Promise<void> {
    const report = await askLoad(vm);
    const entry = entryOf(vm.id);
    if (report.isErr()) {
      entry.silences += 1;
      return;
    }
    const { running, waiting, ageMs } = report.value;
    const madeAt = clock.now() - ageMs;
    entry.silences = 0;
    entry.reported = running + waiting;
    entry.begunAt = entry.begunAt.filter((at) => at > madeAt);
  }

  function round(): void {
    for (const vm of parts.servers()) {
      void read(vm);
    }
    if (!stopped) timer = clock.after(parts.intervalMs, round);
  }

  return {
    start: round,
    stop() {
      stopped = true;
      timer?.cancel();
    },
    loadOf(server) {
      const entry = entries.get(server);
      return entry === undefined ? 0 : entry.reported + entry.begunAt.length;
    },
    isResponsive: (server) => (entries.get(server)?.silences ?? 0) < MAX_SILENCES,
    recordStart(server) {
      entryOf(server).begunAt.push(clock.now());
    },
  };
}
