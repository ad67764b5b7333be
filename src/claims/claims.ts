/**
 * Runs non-repeatable requests at most once per idempotency key. A row is claimed before the request
 * is sent, and the outcome is stored in it; a retry at any node gets the same outcome.
 *
 * A write that lands late must not contradict an answer already given. So `not-run` is answered only
 * by the node that held the claim and did not send, or once the row is fenced against that claim.
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
const BACKGROUND_RETRY_MS = 1_000;
const STOP_POLL_MS = 20;

/** A request that may not be repeated. */
export interface ClaimRequest extends ClaimKey {
  requestId: string;
  bodyHash: string;
}

/** A claim that this node holds; its outcome is not stored yet. */
export interface Claim {
  rowKey: string;
  revision: number;
  row: ClaimRow;
}

/** Result of a claim attempt. */
export type ClaimAnswer =
  | { kind: 'claimed'; claim: Claim }
  /** The request ran before and has this answer. */
  | { kind: 'answered'; answer: ServiceAnswer }
  | { kind: 'refused'; failure: Failure };

/** Dependencies of the claims. */
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
  /** Milliseconds since the epoch. */
  wallClock(): number;
  /** Whether the process that made a claim has certainly lost its lease. */
  hasLeaseEnded(node: string, incarnation: string): Promise<boolean>;
}

/** The claims of a node. */
export interface Claims {
  claim(request: ClaimRequest): Promise<ClaimAnswer>;
  /** Reads a key's outcome without claiming it; `undefined` if there is none or it cannot be read. */
  findOutcome(request: ClaimRequest): Promise<ClaimAnswer | undefined>;
  /**
   * Waits for the outcome of a call with the same key that is running at this node; `undefined` if
   * there is none.
   */
  join(request: ClaimRequest): Promise<ClaimAnswer> | undefined;
  /** Stores the outcome of a claimed request; retries in the background while the stores are unavailable. */
  settle(claim: Claim, outcome: Result<ServiceAnswer, Failure>): Promise<void>;
  /** Waits up to `graceMs` for the background tasks, then ends the remaining ones. */
  stop(graceMs: number): Promise<void>;
}

/** A call that this node has claimed and not settled. */
interface RunningCall {
  bodyHash: string;
  outcome: Promise<ClaimAnswer>;
  resolve(answer: ClaimAnswer): void;
}

/**
 * Creates the claims of a node.
 *
 * @param parts the stores, and the check for lost leases of other claimants
 */
export function createClaims(parts: ClaimsParts): Claims {
  const { table, objectStore, writer, clock, log, metrics, node } = parts;
  const running = new Map<string, RunningCall>();
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
        return registerCall({ rowKey, revision: committed.revision, row });
      })
      .with({ kind: 'unavailable' }, () => refuse(unavailable(node)))
      .with({ kind: 'conflict' }, () => readExisting(request))
      .with({ kind: 'unknown' }, () => readBack(request, { rowKey, revision, row }))
      .exhaustive();
  }

  function registerCall(held: Claim): ClaimAnswer {
    let resolve: RunningCall['resolve'] = () => undefined;
    const outcome = new Promise<ClaimAnswer>((resolveOutcome) => {
      resolve = resolveOutcome;
    });
    running.set(held.rowKey, { bodyHash: held.row.bodyHash, outcome, resolve });
    return { kind: 'claimed', claim: held };
  }

  function resolveCall(held: Claim, outcome: Result<ServiceAnswer, Failure>): void {
    const call = running.get(held.rowKey);
    running.delete(held.rowKey);
    call?.resolve(
      outcome.isOk() ? { kind: 'answered', answer: outcome.value } : refuse(outcome.error),
    );
  }

  function runInBackground(task: Promise<void>): void {
    background.add(task);
    void task.finally(() => background.delete(task));
  }

  /** Reads the row to find out whether a claim landed whose answer was lost. */
  async function readBack(request: ClaimRequest, sent: Claim): Promise<ClaimAnswer> {
    log.write('claimUncertain', { requestId: request.requestId });
    const read = await table.get(sent.rowKey);
    if (read.isErr()) return abandon(sent);
    const found = read.value === undefined ? undefined : parseClaimRow(read.value.value);
    if (read.value !== undefined && found?.attempt === sent.row.attempt) {
      return registerCall({ ...sent, revision: read.value.revision });
    }
    if (read.value !== undefined && read.value.revision !== sent.revision) {
      return resolveExisting(request, read.value);
    }
    return abandon(sent);
  }

  /** Gives up a claim before anything was sent, and fences the row so that a late write of the claim fails. */
  function abandon(sent: Claim): ClaimAnswer {
    runInBackground(fence(sent));
    return refuse(unavailable(node));
  }

  async function fence(sent: Claim): Promise<void> {
    const tombstone: ClaimRow = { ...sent.row, attempt: parts.createId(), state: 'not-run' };
    while (!stopped) {
      if (await tryFence(sent, tombstone)) return;
      await wait(clock, BACKGROUND_RETRY_MS);
    }
  }

  /** @returns whether the claim can no longer land, or another claim has replaced it */
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

  /** Reads the claim that another call has on the key. */
  async function readExisting(request: ClaimRequest): Promise<ClaimAnswer> {
    const read = await table.get(claimRowKey(request));
    if (read.isErr()) return refuse(unreadable(node));
    if (read.value === undefined) return refuse(unavailable(node));
    return resolveExisting(request, read.value);
  }

  async function resolveExisting(request: ClaimRequest, row: Row): Promise<ClaimAnswer> {
    const found = parseClaimRow(row.value);
    if (found === undefined) return refuse(unreadable(node));
    if (found.bodyHash !== request.bodyHash) return refuse(reused(node));
    return match(found.state)
      .with('answered', () => loadAnswer(found))
      .with('unknown', () => refuse(found.failure ?? unknownOutcome(found.node)))
      .with('not-run', () => insert(request, row.revision))
      .with('claimed', () => resolveClaimed(row, found))
      .exhaustive();
  }

  /** Resolves a claim without an outcome: its process is still running, or has lost its lease. */
  async function resolveClaimed(row: Row, found: ClaimRow): Promise<ClaimAnswer> {
    const isOwnClaim = found.node === node && found.incarnation === parts.incarnation;
    if (isOwnClaim || !(await parts.hasLeaseEnded(found.node, found.incarnation))) {
      return refuse(inProgress(found.node));
    }
    const failure = unknownOutcome(found.node);
    const value: ClaimRow = { ...found, state: 'unknown', failure };
    const outcome = await writer.write({ key: row.key, revision: row.revision, value });
    if (outcome.kind === 'committed') return refuse(failure);
    return refuse(inProgress(found.node));
  }

  async function loadAnswer(found: ClaimRow): Promise<ClaimAnswer> {
    const stored = found.answer;
    if (stored === undefined) return refuse(unknownOutcome(found.node));
    const body = await readBody(stored);
    if (body.isErr()) return refuse(body.error);
    const { status, contentType } = stored;
    return { kind: 'answered', answer: { status, contentType, body: body.value } };
  }

  async function readBody(stored: StoredAnswer): Promise<Result<Uint8Array, Failure>> {
    if (stored.objectKey === undefined) return Ok(Buffer.from(stored.body ?? '', 'base64'));
    const read = await objectStore.get(stored.objectKey);
    if (read.isErr()) return Err({ ...read.error, outcome: 'unknown' });
    return read.value === undefined ? Err(unknownOutcome(node)) : Ok(read.value);
  }

  async function settle(held: Claim, outcome: Result<ServiceAnswer, Failure>): Promise<void> {
    let row: ClaimRow | undefined;
    const store = async () => {
      row ??= await createOutcomeRow(held, outcome);
      return row !== undefined && (await writeOutcome(held, row));
    };
    if (!(await store())) {
      log.write('claimSettleFailed', { requestId: held.row.requestId });
      runInBackground(retryUntilStored(store));
    }
    resolveCall(held, outcome);
  }

  async function retryUntilStored(store: () => Promise<boolean>): Promise<void> {
    do {
      await wait(clock, BACKGROUND_RETRY_MS);
    } while (!stopped && !(await store()));
  }

  /** @returns the row to write; `undefined` if the answer's body could not be stored */
  async function createOutcomeRow(
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

  /** @returns whether the outcome is stored, or can never be stored */
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
    // `unknown` was already answered; `not-run` would let the key be claimed and run later.
    if (found.state === 'unknown' && row.state === 'not-run') return true;
    // Another node has marked the claim `unknown`; this node knows the outcome and replaces it.
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
      const call = running.get(claimRowKey(request));
      if (call === undefined) return undefined;
      if (call.bodyHash !== request.bodyHash) return Promise.resolve(refuse(reused(node)));
      return call.outcome;
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
    message:
      'the idempotency key could not be claimed and nothing was sent; retry with the same key',
    step: 'claim.insert',
    peer: node,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

/** The key is claimed, so its call may have run, whatever became of this request. */
function unreadable(node: string): Failure {
  return createUnknownOutcome({
    code: 'claims-unavailable',
    message:
      'the idempotency key is claimed and its outcome cannot be read; retry with the same key for its answer',
    step: 'claim.read-back',
    peer: node,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function reused(node: string): Failure {
  return createRefusal({
    code: 'idempotency-key-reused',
    message: 'the idempotency key was used for a different request; use a new key',
    step: 'claim.read-back',
    peer: node,
    field: 'Idempotency-Key',
  });
}

function inProgress(peer: string): Failure {
  return createUnknownOutcome({
    code: 'in-progress',
    message:
      'a request with this idempotency key is running; retry with the same key for its answer',
    step: 'claim.read-back',
    peer,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function unknownOutcome(peer: string): Failure {
  return createUnknownOutcome({
    code: 'outcome-unknown',
    message:
      'the request may have run and will not be run again; check its effect before using a new key',
    step: 'claim.read-back',
    peer,
  });
}
