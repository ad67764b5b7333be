/**
 * Runs requests that may not be repeated at most once for each idempotency key. A row is claimed
 * before anything is sent; the outcome is stored in it; whoever asks again, at any node, gets the
 * same outcome.
 *
 * Nothing is said that a late write could make false. `not run` is said only by the node that held
 * the claim and did not send, or after the row was conditionally moved away from that claim.
 */
import { match } from 'ts-pattern';
import { Err, Ok, type Result } from 'ts-results-es';
import { createUnknownOutcome, createRefusal, type Failure } from '../errors/index.js';
import type { Log } from '../events/index.js';
import type { Metrics } from '../metrics/index.js';
import type { ObjectStore, Row, ServiceAnswer, TableService } from '../ports/index.js';
import { wait, type Clock } from '../task/index.js';
import type { BatchWriter } from './batch-writer.js';
import {
  claimRowKey,
  parseClaimRow,
  type ClaimKey,
  type ClaimRow,
  type StoredAnswer,
} from './rows.js';

const RETRY_AFTER_MS = 1_000;
const SETTLE_AGAIN_MS = 1_000;
const STOP_POLL_MS = 20;

/** A request that may not be repeated. */
export interface ClaimRequest extends ClaimKey {
  requestId: string;
  bodyHash: string;
}

/** A claim that this node holds and has not settled. */
export interface Claim {
  rowKey: string;
  revision: number;
  row: ClaimRow;
}

/** What asking for a claim leads to. */
export type ClaimAnswer =
  | { kind: 'claimed'; claim: Claim }
  /** It ran before; this is its answer. */
  | { kind: 'answered'; answer: ServiceAnswer }
  | { kind: 'refused'; failure: Failure };

/** What claims need. */
export interface ClaimsParts {
  table: TableService;
  objectStore: ObjectStore;
  writer: BatchWriter;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  node: string;
  incarnation: string;
  maxInlineBytes: number;
  createId(): string;
  wallClock(): number;
  /** Whether the process that made a claim is certainly no longer the holder of its lease. */
  hasLeaseEnded(node: string, incarnation: string): Promise<boolean>;
}

/** The claims of a node. */
export interface Claims {
  claim(request: ClaimRequest): Promise<ClaimAnswer>;
  /** The outcome under a key, without claiming it; `undefined` when there is none to give. */
  findOutcome(request: ClaimRequest): Promise<ClaimAnswer | undefined>;
  /**
   * The outcome of a call under the same key that this node has claimed and not settled; `undefined`
   * when there is none. Settles when the other call does.
   */
  join(request: ClaimRequest): Promise<ClaimAnswer> | undefined;
  /** Stores what became of a claimed request. Goes on in the background while the table is away. */
  settle(claim: Claim, outcome: Result<ServiceAnswer, Failure>): Promise<void>;
  /** Waits for what goes on in the background, `graceMs` at most, and ends what is left of it. */
  stop(graceMs: number): Promise<void>;
}

/** A call that this node has claimed and not settled. */
interface Running {
  bodyHash: string;
  ended: Promise<ClaimAnswer>;
  end(answer: ClaimAnswer): void;
}

/**
 * Creates the claims of a node.
 *
 * @param parts the stores, and how to tell whether another claimer is gone
 */
export function createClaims(parts: ClaimsParts): Claims {
  const { table, objectStore, writer, clock, log, metrics, node } = parts;
  const running = new Map<string, Running>();
  const background = new Set<Promise<void>>();
  let stopped = false;

  async function claim(request: ClaimRequest): Promise<ClaimAnswer> {
    return insert(request, 0);
  }

  async function insert(request: ClaimRequest, revision: number): Promise<ClaimAnswer> {
    const rowKey = claimRowKey(request);
    const row: ClaimRow = {
      attempt: parts.createId(),
      node,
      incarnation: parts.incarnation,
      requestId: request.requestId,
      bodyHash: request.bodyHash,
      state: 'claimed',
      writtenAt: parts.wallClock(),
    };
    const outcome = await writer.write({ key: rowKey, revision, value: row });
    metrics.claims.inc({ outcome: outcome.kind });
    return match(outcome)
      .with({ kind: 'committed' }, (committed): ClaimAnswer => {
        return begin({ rowKey, revision: committed.revision, row });
      })
      .with({ kind: 'unavailable' }, () => refuse(unavailable(node)))
      .with({ kind: 'conflict' }, () => readExisting(request))
      .with({ kind: 'unknown' }, () => readBack(request, { rowKey, revision, row }))
      .exhaustive();
  }

  function begin(held: Claim): ClaimAnswer {
    let end: Running['end'] = () => undefined;
    const ended = new Promise<ClaimAnswer>((resolve) => {
      end = resolve;
    });
    running.set(held.rowKey, { bodyHash: held.row.bodyHash, ended, end });
    return { kind: 'claimed', claim: held };
  }

  function finish(held: Claim, outcome: Result<ServiceAnswer, Failure>): void {
    const ended = running.get(held.rowKey);
    running.delete(held.rowKey);
    ended?.end(
      outcome.isOk() ? { kind: 'answered', answer: outcome.value } : refuse(outcome.error),
    );
  }

  function keepUp(work: Promise<void>): void {
    background.add(work);
    void work.finally(() => background.delete(work));
  }

  /** The answer to the claim was lost: the row says whether it is ours. */
  async function readBack(request: ClaimRequest, sent: Claim): Promise<ClaimAnswer> {
    log.write('claimUncertain', { requestId: request.requestId });
    const read = await table.get(sent.rowKey);
    if (read.isErr()) return abandon(sent);
    const found = read.value === undefined ? undefined : parseClaimRow(read.value.value);
    if (read.value !== undefined && found?.attempt === sent.row.attempt) {
      return begin({ ...sent, revision: read.value.revision });
    }
    if (read.value !== undefined && read.value.revision !== sent.revision) {
      return resolveExisting(request, read.value);
    }
    return abandon(sent);
  }

  /** Nothing was sent and nothing will be; the row is moved on so that a late write changes nothing. */
  function abandon(sent: Claim): ClaimAnswer {
    keepUp(fence(sent));
    return refuse(unavailable(node));
  }

  async function fence(sent: Claim): Promise<void> {
    const tombstone: ClaimRow = { ...sent.row, attempt: parts.createId(), state: 'not-run' };
    while (!stopped) {
      if (await tryFence(sent, tombstone)) return;
      await wait(clock, SETTLE_AGAIN_MS);
    }
  }

  /** @returns whether the claim can no longer land, or was overtaken by another. */
  async function tryFence(sent: Claim, tombstone: ClaimRow): Promise<boolean> {
    const read = await table.get(sent.rowKey);
    if (read.isErr()) return false;
    const found = read.value === undefined ? undefined : parseClaimRow(read.value.value);
    const revision = read.value?.revision ?? 0;
    const hasLanded = found?.attempt === sent.row.attempt;
    if (!hasLanded && revision !== sent.revision) return true;
    const outcome = await writer.write({ key: sent.rowKey, revision, value: tombstone });
    if (outcome.kind !== 'committed') return false;
    log.write('claimFenced', { requestId: sent.row.requestId });
    return true;
  }

  async function readExisting(request: ClaimRequest): Promise<ClaimAnswer> {
    const read = await table.get(claimRowKey(request));
    if (read.isErr()) return refuse(unavailable(node));
    if (read.value === undefined) return refuse(unavailable(node));
    return resolveExisting(request, read.value);
  }

  async function resolveExisting(request: ClaimRequest, row: Row): Promise<ClaimAnswer> {
    const found = parseClaimRow(row.value);
    if (found === undefined) return refuse(unavailable(node));
    if (found.bodyHash !== request.bodyHash) return refuse(reused(node));
    return match(found.state)
      .with('answered', () => giveAnswer(found))
      .with('unknown', () => refuse(found.failure ?? uncertain(found.node)))
      .with('not-run', () => insert(request, row.revision))
      .with('claimed', () => resolveClaimed(row, found))
      .exhaustive();
  }

  /** Claimed and not settled: by a process that goes on, or by one that is gone. */
  async function resolveClaimed(row: Row, found: ClaimRow): Promise<ClaimAnswer> {
    const isOwn = found.node === node && found.incarnation === parts.incarnation;
    if (isOwn || !(await parts.hasLeaseEnded(found.node, found.incarnation))) {
      return refuse(inProgress(found.node));
    }
    const failure = uncertain(found.node);
    const value: ClaimRow = { ...found, state: 'unknown', failure };
    const outcome = await writer.write({ key: row.key, revision: row.revision, value });
    if (outcome.kind === 'committed') return refuse(failure);
    return refuse(inProgress(found.node));
  }

  async function giveAnswer(found: ClaimRow): Promise<ClaimAnswer> {
    const stored = found.answer;
    if (stored === undefined) return refuse(uncertain(found.node));
    const body = await readBody(stored);
    if (body.isErr()) return refuse(body.error);
    const { status, contentType } = stored;
    return { kind: 'answered', answer: { status, contentType, body: body.value } };
  }

  async function readBody(stored: StoredAnswer): Promise<Result<Uint8Array, Failure>> {
    if (stored.objectKey === undefined) return Ok(Buffer.from(stored.body ?? '', 'base64'));
    const read = await objectStore.get(stored.objectKey);
    if (read.isErr()) return Err({ ...read.error, outcome: 'unknown' });
    return read.value === undefined ? Err(uncertain(node)) : Ok(read.value);
  }

  async function settle(held: Claim, outcome: Result<ServiceAnswer, Failure>): Promise<void> {
    let row: ClaimRow | undefined;
    const store = async () => {
      row ??= await describeOutcome(held, outcome);
      return row !== undefined && (await writeOutcome(held, row));
    };
    if (!(await store())) {
      log.write('claimSettleFailed', { requestId: held.row.requestId });
      keepUp(keepStoring(store));
    }
    finish(held, outcome);
  }

  async function keepStoring(store: () => Promise<boolean>): Promise<void> {
    do {
      await wait(clock, SETTLE_AGAIN_MS);
    } while (!stopped && !(await store()));
  }

  /** @returns the row to write; `undefined` while the body of the answer cannot be stored. */
  async function describeOutcome(
    held: Claim,
    outcome: Result<ServiceAnswer, Failure>,
  ): Promise<ClaimRow | undefined> {
    const base = { ...held.row, writtenAt: parts.wallClock() };
    if (outcome.isErr()) return { ...base, state: outcome.error.outcome, failure: outcome.error };
    const { status, contentType, body } = outcome.value;
    const answer: StoredAnswer = { status, contentType };
    if (body.length <= parts.maxInlineBytes) {
      answer.body = Buffer.from(body).toString('base64');
      return { ...base, state: 'answered', answer };
    }
    answer.objectKey = `claims/${held.row.attempt}`;
    const put = await objectStore.put(answer.objectKey, body);
    return put.isOk() ? { ...base, state: 'answered', answer } : undefined;
  }

  /** @returns whether the outcome is stored, or can never be. */
  async function writeOutcome(held: Claim, row: ClaimRow): Promise<boolean> {
    const write = { key: held.rowKey, revision: held.revision, value: row };
    const outcome = await writer.write(write);
    if (outcome.kind === 'committed') return true;
    if (outcome.kind === 'unavailable') return false;
    const read = await table.get(held.rowKey);
    if (read.isErr()) return false;
    const found = read.value === undefined ? undefined : parseClaimRow(read.value.value);
    if (read.value === undefined || found?.attempt !== held.row.attempt) return true;
    if (found.state === row.state) return true;
    // Whoever was told that it may have run must not see it run later, so this is not taken back.
    if (found.state === 'unknown' && row.state === 'not-run') return true;
    // Somebody declared the claim unknown meanwhile; what this node knows is better.
    held.revision = read.value.revision;
    return false;
  }

  return {
    claim,
    async findOutcome(request) {
      const read = await table.get(claimRowKey(request));
      if (read.isErr() || read.value === undefined) return undefined;
      const found = parseClaimRow(read.value.value);
      if (found === undefined || found.state === 'not-run') return undefined;
      return resolveExisting(request, read.value);
    },
    join(request) {
      const other = running.get(claimRowKey(request));
      if (other === undefined) return undefined;
      if (other.bodyHash !== request.bodyHash) return Promise.resolve(refuse(reused(node)));
      return other.ended;
    },
    settle,
    async stop(graceMs) {
      const until = clock.now() + graceMs;
      while (background.size > 0 && clock.now() < until) await wait(clock, STOP_POLL_MS);
      stopped = true;
    },
  };
}

function refuse(failure: Failure): ClaimAnswer {
  return { kind: 'refused', failure };
}

function unavailable(node: string): Failure {
  return createRefusal({
    code: 'claims-unavailable',
    message: 'the claim could not be made, and nothing was sent; ask again with the same key',
    step: 'claim.insert',
    peer: node,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function reused(node: string): Failure {
  return createRefusal({
    code: 'idempotency-key-reused',
    message: 'the key was used for another request; use a new key for a new request',
    step: 'claim.read-back',
    peer: node,
    field: 'Idempotency-Key',
  });
}

function inProgress(peer: string): Failure {
  return createUnknownOutcome({
    code: 'in-progress',
    message: 'a request with this key is running; ask again with the same key for its answer',
    step: 'claim.read-back',
    peer,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function uncertain(peer: string): Failure {
  return createUnknownOutcome({
    code: 'outcome-unknown',
    message: 'the request may have run; it is not run again. Check before using a new key',
    step: 'claim.read-back',
    peer,
  });
}
