/**
 * Task that acquires and renews this node's own lease. Before it acquires the lease, it waits until an
 * earlier process with the same node name must have stopped.
 */
import { match } from 'ts-pattern';
import type { Log } from '../events/index.js';
import type { Row, TableService } from '../ports/index.js';
import type { Clock, Timer } from '../task/index.js';
import { nodeRowKey, parseNodeRow, type LeaseHolder, type NodeRow } from './rows.js';
import {
  isLapsed,
  observeRevision,
  resolveValidUntil,
  type LeaseTerms,
  type Observation,
} from './terms.js';

/** Dependencies of a node's lease. */
export interface NodeLeaseParts {
  table: TableService;
  clock: Clock;
  log: Log;
  terms: LeaseTerms;
  node: string;
  incarnation: string;
  peer: string;
  createId(): string;
  /** Called when the lease was acquired. */
  acquired(holder: LeaseHolder): void;
  /** Called when the lease has certainly ended, and with it everything held under it. */
  lost(holder: LeaseHolder): void;
}

/** A node's own lease. */
export interface NodeLease {
  start(): void;
  /** Releases the lease, so that other nodes need not wait for it to lapse. */
  release(): Promise<void>;
  /** Whether orders may be sent now. */
  isValid(): boolean;
  /** Remaining validity of the lease, in milliseconds; 0 if it is not valid. */
  validForMs(): number;
  /** The identity of the lease; `undefined` before it was acquired and after it was lost. */
  holder(): LeaseHolder | undefined;
}

/** Maximum number of attempts to release; after that the lease lapses. */
const RELEASE_ATTEMPTS = 3;

type Phase = 'joining' | 'held' | 'released';

/**
 * Creates the lease task of a node.
 *
 * @param parts the table, the clock and the callbacks for gain and loss
 */
export function createNodeLease(parts: NodeLeaseParts): NodeLease {
  const { table, clock, terms, log } = parts;
  const key = nodeRowKey(parts.node);
  let phase: Phase = 'joining';
  let holder: LeaseHolder | undefined;
  let revision = 0;
  let counter = 0;
  let validUntil = 0;
  let isLapseReported = false;
  let observation: Observation | undefined;
  let timer: Timer | undefined;
  let currentStep: Promise<void> = Promise.resolve();

  function isValid(): boolean {
    return phase === 'held' && clock.now() < validUntil;
  }

  function schedule(delayMs: number): void {
    if (phase === 'released') return;
    timer = clock.after(delayMs, step);
  }

  /** Starts steps at a fixed rate, however long each takes, so that one lost answer does not cost the lease. */
  function step(): void {
    const startedAt = clock.now();
    currentStep = advance();
    void currentStep.then(() => {
      schedule(Math.max(0, startedAt + terms.renewEveryMs - clock.now()));
    });
  }

  async function advance(): Promise<void> {
    if (phase === 'joining') await join();
    else if (phase === 'held') await renew();
  }

  async function join(): Promise<void> {
    const read = await table.get(key);
    if (read.isErr()) {
      log.write('leaseRenewalFailed', { failure: read.error });
      return;
    }
    if (!canReplace(read.value)) return;
    await acquire(read.value?.revision ?? 0);
  }

  /** A row held by another process may be replaced only after it was unchanged for long enough. */
  function canReplace(row: Row | undefined): boolean {
    if (row === undefined) return true;
    const former = parseNodeRow(row.value);
    if (former?.state !== 'held') return true;
    if (former.holder.incarnation === parts.incarnation) return true;
    observation = observeRevision(observation, row.revision, clock.now());
    return isLapsed(observation, clock.now(), terms);
  }

  async function acquire(formerRevision: number): Promise<void> {
    const { node, incarnation, peer } = parts;
    const candidate: LeaseHolder = { node, incarnation, peer, leaseId: parts.createId() };
    const sentAt = clock.now();
    const written = await write(formerRevision, { holder: candidate, state: 'held', counter: 0 });
    if (written === undefined || phase !== 'joining') return;
    phase = 'held';
    holder = candidate;
    counter = 0;
    revision = written;
    validUntil = resolveValidUntil(sentAt, terms);
    log.write('leaseJoined', { leaseId: candidate.leaseId });
    parts.acquired(candidate);
  }

  async function renew(): Promise<void> {
    if (holder === undefined) return;
    const sentAt = clock.now();
    // Each attempt has its own counter, so that an earlier attempt that landed late is not mistaken
    // for this one: a taker may have started to count when the earlier one landed.
    counter += 1;
    const written = await write(revision, { holder, state: 'held', counter });
    reportLapse();
    if (written === undefined) return;
    revision = written;
    validUntil = resolveValidUntil(sentAt, terms);
    isLapseReported = false;
  }

  function reportLapse(): void {
    if (isValid() || isLapseReported) return;
    isLapseReported = true;
    log.write('leaseLapsed', {});
  }

  /** @returns the new revision; `undefined` if the write is not known to have landed */
  async function write(expected: number, value: NodeRow): Promise<number | undefined> {
    const outcome = await table.transact({
      conditions: [{ key, revision: expected }],
      puts: [{ key, value }],
      deletes: [],
    });
    return match(outcome)
      .with({ kind: 'committed' }, (committed) => committed.revision)
      .with({ kind: 'unavailable' }, ({ failure }) => {
        log.write('leaseRenewalFailed', { failure });
        return undefined;
      })
      .with({ kind: 'conflict' }, { kind: 'unknown' }, () => readBack(value))
      .exhaustive();
  }

  /** Reads the row after a conflict or a lost answer, to find out whether the write landed. */
  async function readBack(value: NodeRow): Promise<number | undefined> {
    const read = await table.get(key);
    if (read.isErr()) {
      log.write('leaseRenewalFailed', { failure: read.error });
      return undefined;
    }
    const row = read.value;
    const found = row === undefined ? undefined : parseNodeRow(row.value);
    if (row !== undefined && found !== undefined && isOwnLease(found, value)) {
      if (found.counter === value.counter && found.state === value.state) return row.revision;
      revision = row.revision;
      return undefined;
    }
    loseLease();
    return undefined;
  }

  function isOwnLease(found: NodeRow, value: NodeRow): boolean {
    const isActive = found.state === 'held' || found.state === value.state;
    return isActive && found.holder.leaseId === value.holder.leaseId;
  }

  function loseLease(): void {
    observation = undefined;
    if (phase !== 'held' || holder === undefined) return;
    const former = holder;
    phase = 'joining';
    holder = undefined;
    validUntil = 0;
    log.write('leaseLost', { leaseId: former.leaseId });
    parts.lost(former);
  }

  return {
    start() {
      step();
    },
    async release() {
      timer?.cancel();
      await currentStep;
      timer?.cancel();
      const former = holder;
      const wasHeld = phase === 'held';
      phase = 'released';
      validUntil = 0;
      if (!wasHeld || former === undefined) return;
      for (let attempt = 0; attempt < RELEASE_ATTEMPTS; attempt++) {
        counter += 1;
        const written = await write(revision, { holder: former, state: 'released', counter });
        if (written !== undefined) return;
      }
    },
    isValid,
    validForMs: () => (isValid() ? validUntil - clock.now() : 0),
    holder: () => holder,
  };
}
