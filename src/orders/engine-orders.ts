/**
 * Reconciliation loop that sends orders to one engine of a held shard. Each iteration reads the
 * engine's state and the journal, lets `resolveNextStep` choose one step and carries it out, until
 * nothing is left to do. A lost answer or a crashed engine is discovered by the next iteration.
 *
 * An order is sent only while the lease is valid. Its send timeout is half of the time between the
 * holder's and the taker's lease limit, so that a send ends before a successor can start. The
 * journal covers the case that the process is paused in between.
 */
import { match } from 'ts-pattern';
import { Err, Ok, type Result } from 'ts-results-es';
import { createRefusal, type FailureCode, type Failure, type Step } from '../errors/index.js';
import type { Log } from '../events/index.js';
import type { Metrics } from '../metrics/index.js';
import type { EngineState, ModelEngine } from '../ports/index.js';
import type { HeldShard } from '../shards/index.js';
import { wait, type Clock } from '../task/index.js';
import { areOthersCleared, listOthers, type FormerHolders } from './former-holders.js';
import type { Drain } from './drain.js';
import type { JournalEntry, OrderJournal } from './journal.js';
import { listLoads, type LoadPacer } from './load-pacer.js';
import { resolveNextStep, type EngineView, type NextStep } from './next-step.js';
import { resolveSetup, type EngineRow, type EngineSetup, type JournalledOrder } from './rows.js';

const POLL_INTERVAL_MS = 250;
const WITHHELD_RETRY_MS = 5_000;
const JOURNAL_RETRY_MS = 2_000;
/** Interval of checking former holders while no step depends on the result. */
const IDLE_PROOF_INTERVAL_MS = 60_000;

/** Time limits of orders, in milliseconds. */
export interface OrderTerms {
  /** Longest drain before the change is given up. */
  drainMs: number;
  /** Delay after which a change that was given up is tried again. */
  tryAgainMs: number;
  /** Timeout of sending an order. */
  sendMs: number;
}

/** Dependencies of an engine's orders. */
export interface EngineOrdersParts {
  engine: ModelEngine;
  node: string;
  held: HeldShard;
  journal: OrderJournal;
  formers: Pick<FormerHolders, 'isCleared' | 'trackSend'>;
  drain: Drain;
  pace: LoadPacer;
  clock: Clock;
  log: Log;
  metrics: Metrics;
  terms: OrderTerms;
  createId(): string;
  /** Whether the engine refuses orders with an older fencing number. */
  checksFence(): boolean;
  /** Whether the lease under which the shard is held is valid. */
  isLeaseValid(): boolean;
  /** Adds the models and adapters of the engine's groups, so that one change covers both. */
  completeByGroups(wanted: EngineSetup): EngineSetup;
  /** The setup that the engine's groups want; `undefined` if it lacks nothing or must wait. */
  wantedByGroups(present: EngineSetup): EngineSetup | undefined;
  /** Called with the engine's state after it has carried out an order. */
  learned(state: EngineState): void;
  /** Called when the loop stops: nothing is left to do, or the next step has to wait. */
  rested(): void;
}

/** The orders of one engine. */
export interface EngineOrders {
  /** Reads the journal. Drains the engine if its last order is outstanding. */
  start(): Promise<void>;
  /** Starts the loop, if necessary, with a state that the engine has reported. */
  updateState(state: EngineState): void;
  /** Changes the engine's setup; resolves when the change took effect or was given up. */
  change(wanted: EngineSetup): Promise<Result<void, Failure>>;
  /** Whether a change is pending or in progress. */
  isChanging(): boolean;
  /** Sends no further orders. An engine that is being drained stays so. */
  stop(): void;
}

/** A requested change. */
interface ChangeRequest {
  wanted: EngineSetup;
  answer(result: Result<void, Failure>): void;
}

/** The journal and the engine at one moment, and the step that follows from them. */
interface Observation {
  entry: JournalEntry;
  state: EngineState;
  change: ChangeRequest | undefined;
  step: NextStep;
}

/** Whether to poll again soon, or to stop until the engine's next state report. */
type Progress = 'look-again' | 'rest';

/**
 * Creates the orders of an engine.
 *
 * @param parts the engine, its journal and the time limits
 */
export function createEngineOrders(parts: EngineOrdersParts): EngineOrders {
  const { engine, held, journal, formers, drain, pace, clock, log, metrics, terms } = parts;
  const own = held.holder;
  let entry: JournalEntry | undefined;
  let requested: ChangeRequest | undefined;
  let running = false;
  let stopped = false;
  let notBefore = 0;
  let proofDueAt = 0;
  let withheldFence: number | undefined;

  function wake(reported?: EngineState): void {
    if (running || stopped || clock.now() < notBefore) return;
    running = true;
    void run(reported).finally(() => {
      running = false;
    });
  }

  async function run(reported: EngineState | undefined): Promise<void> {
    if (reported !== undefined && (await needsNothing(reported))) return;
    while (!stopped && clock.now() >= notBefore) {
      const progress = await advance();
      if (progress === 'rest') break;
      await wait(clock, POLL_INTERVAL_MS);
    }
    parts.rested();
  }

  /** A reported state may be outdated, so it only decides whether the loop has to run at all. */
  async function needsNothing(reported: EngineState): Promise<boolean> {
    if (entry === undefined || hasRequest() || drain.isHeld()) return false;
    const observation = await observe(reported);
    return observation?.step.kind === 'none' && !hasRequest();
  }

  function isOutstanding(): boolean {
    return entry?.row.order?.state === 'outstanding';
  }

  function hasRequest(): boolean {
    return requested !== undefined;
  }

  async function advance(): Promise<Progress> {
    if (!parts.isLeaseValid()) return handleInvalidLease();
    const state = await engine.state();
    if (state.isErr()) return handleUnreachable(state.error);
    const observation = await observe(state.value);
    if (observation === undefined || stopped) return 'rest';
    return carryOut(observation);
  }

  /** Ends the drain; while an order is outstanding, only after `drainMs`, as it may still arrive. */
  function handleInvalidLease(): Progress {
    if (!isOutstanding() || drain.heldForMs() >= terms.drainMs) drain.end();
    return 'rest';
  }

  function handleUnreachable(failure: Failure): Progress {
    if (drain.isHeld() && drain.heldForMs() <= terms.drainMs) return 'look-again';
    drain.end();
    finish(requested, Err(failure));
    return 'rest';
  }

  async function observe(state: EngineState): Promise<Observation | undefined> {
    const known = entry ?? (await read());
    if (known === undefined) return undefined;
    const change = requested;
    const { row } = known;
    const step = await chooseStep({
      row,
      state,
      own,
      checksFence: parts.checksFence(),
      othersCleared: listOthers(row, own).length === 0,
      desired: resolveDesired(change, row, state),
    });
    return { entry: known, state, change, step };
  }

  /** Checking former holders reads the table, so it is done only where it may change the step. */
  async function chooseStep(view: EngineView): Promise<NextStep> {
    const step = resolveNextStep(view);
    if (view.checksFence || view.othersCleared || !isProofDue(step)) return step;
    const othersCleared = await areOthersCleared(formers, engine.id, view.row, own);
    return othersCleared ? resolveNextStep({ ...view, othersCleared }) : step;
  }

  function isProofDue(step: NextStep): boolean {
    if (step.kind === 'withhold') return true;
    if (step.kind === 'resend') return step.order.state === 'settled';
    if (step.kind !== 'none' || clock.now() < proofDueAt) return false;
    proofDueAt = clock.now() + IDLE_PROOF_INTERVAL_MS;
    return true;
  }

  function resolveDesired(
    change: ChangeRequest | undefined,
    row: EngineRow,
    state: EngineState,
  ): EngineSetup | undefined {
    if (change !== undefined) return parts.completeByGroups(change.wanted);
    return parts.wantedByGroups(row.order?.wanted ?? resolveSetup(state));
  }

  async function read(): Promise<JournalEntry | undefined> {
    const found = await journal.read(engine.id);
    if (found.isErr()) {
      log.write('orderUnjournalled', { server: engine.id, failure: found.error });
      pause(JOURNAL_RETRY_MS);
      return undefined;
    }
    entry = found.value;
    return entry;
  }

  /** Ends the drain and takes no step for `delayMs`. */
  function pause(delayMs: number): void {
    drain.end();
    notBefore = clock.now() + delayMs;
  }

  function carryOut(observation: Observation): Progress | Promise<Progress> {
    if (observation.state.leaving) return leave(observation);
    return match(observation.step)
      .with({ kind: 'none' }, () => rest(observation))
      .with({ kind: 'wait' }, (): Progress => 'look-again')
      .with({ kind: 'forget' }, () => forget(observation))
      .with({ kind: 'settle' }, ({ order }) => settle(observation, order))
      .with({ kind: 'resend' }, ({ order, adopt }) => resend(observation, order, adopt))
      .with({ kind: 'order' }, ({ wanted, fence }) => sendNew(observation, wanted, fence))
      .with({ kind: 'withhold' }, () => withhold(observation))
      .exhaustive();
  }

  function rest(observation: Observation): Progress {
    pace.reset();
    drain.end();
    finish(observation.change, Ok(undefined));
    return requested === undefined ? 'rest' : 'look-again';
  }

  /** A leaving engine gets no further orders. */
  function leave(observation: Observation): Progress {
    drain.end();
    const message = 'the engine is leaving';
    finish(observation.change, Err(refuse('leaving', 'order.send', message)));
    return 'rest';
  }

  async function forget({ entry: known }: Observation): Promise<Progress> {
    const { row } = known;
    const order = row.order === null ? null : { ...row.order, by: null };
    return (await write(known, { ...row, order, formers: [] }))
      ? 'look-again'
      : progressAfterFailedWrite();
  }

  async function settle(observation: Observation, order: JournalledOrder): Promise<Progress> {
    const { row } = observation.entry;
    const { incarnation } = observation.state;
    const settled: JournalledOrder = { ...order, state: 'settled', incarnation };
    const remaining = parts.checksFence() ? [] : row.formers;
    const isWritten = await write(observation.entry, {
      ...row,
      order: settled,
      formers: remaining,
    });
    if (!isWritten) return progressAfterFailedWrite();
    pace.reset();
    parts.learned(observation.state);
    log.write('orderSettled', describe(order));
    metrics.orders.inc({ outcome: 'settled' });
    return 'look-again';
  }

  async function resend(
    observation: Observation,
    order: JournalledOrder,
    adopt: boolean,
  ): Promise<Progress> {
    const prepared = await prepare(observation, order.wanted);
    if (prepared !== 'ready') return prepared;
    if (!adopt) return send(order);
    const { row } = observation.entry;
    const adopted: JournalledOrder = { ...order, by: own, state: 'outstanding', incarnation: null };
    const next: EngineRow = { ...row, order: adopted, formers: listOthers(row, own) };
    if (!(await write(observation.entry, next))) return progressAfterFailedWrite();
    return send(adopted);
  }

  async function sendNew(
    observation: Observation,
    wanted: EngineSetup,
    fence: number,
  ): Promise<Progress> {
    const prepared = await prepare(observation, wanted);
    if (prepared !== 'ready') return prepared;
    const order: JournalledOrder = {
      id: parts.createId(),
      fence,
      wanted,
      by: own,
      state: 'outstanding',
      incarnation: null,
    };
    if (!(await write(observation.entry, { fence, order, formers: [] })))
      return progressAfterFailedWrite();
    log.write('orderJournalled', describe(order));
    return send(order);
  }

  /** Acquires the tickets for what the engine has to load, then drains the engine. */
  async function prepare({ state }: Observation, wanted: EngineSetup): Promise<Progress | 'ready'> {
    const tickets = await pace.request(listLoads(resolveSetup(state), wanted));
    if (tickets.kind === 'later') {
      log.write('loadPaced', { server: engine.id, failure: tickets.failure });
      if (drain.heldForMs() >= terms.drainMs) return abandonChange();
      notBefore = clock.now() + tickets.askAgainMs;
      return 'rest';
    }
    if (!drain.isHeld()) {
      drain.begin();
      log.write('drainStarted', { server: engine.id });
    }
    if ((await drain.check()) === 'idle') {
      log.write('drainFinished', { server: engine.id });
      return stopped ? 'rest' : 'ready';
    }
    if (drain.heldForMs() < terms.drainMs) return 'look-again';
    return abandonChange();
  }

  /** Running work is never cut for a change: the change is tried again later. */
  function abandonChange(): Progress {
    log.write('drainGivenUp', { server: engine.id });
    metrics.orders.inc({ outcome: 'given-up' });
    pause(terms.tryAgainMs);
    finish(
      requested,
      Err(refuse('drain-pending', 'drain.wait', 'the engine did not become idle in time')),
    );
    return 'rest';
  }

  async function send(order: JournalledOrder): Promise<Progress> {
    if (stopped || !parts.isLeaseValid()) return 'rest';
    const { id: orderId, fence, wanted } = order;
    const outcome = await formers.trackSend(engine.id, () =>
      engine.order({ orderId, fence, node: parts.node, wanted }, terms.sendMs),
    );
    metrics.orders.inc({ outcome: outcome.kind });
    match(outcome)
      .with({ kind: 'accepted' }, () => {
        log.write('orderSent', describe(order));
      })
      .with({ kind: 'stale-fence' }, () => {
        log.write('orderRefused', describe(order));
      })
      .with({ kind: 'not-sent' }, { kind: 'unknown' }, ({ failure }) => {
        log.write('orderUncertain', { ...describe(order), failure });
      })
      .exhaustive();
    return 'look-again';
  }

  function withhold(observation: Observation): Progress {
    const { row } = observation.entry;
    if (withheldFence !== row.fence) {
      withheldFence = row.fence;
      const others = listOthers(row, own).map(({ holder }) => holder.node);
      log.write('ordersWithheld', { server: engine.id, fence: row.fence, formers: others });
      metrics.orders.inc({ outcome: 'withheld' });
    }
    pause(WITHHELD_RETRY_MS);
    const message = 'a former holder may still send orders to this engine';
    finish(observation.change, Err(refuse('order-refused', 'order.journal', message)));
    return 'rest';
  }

  /** @returns whether the row was certainly written; otherwise it is read again. */
  async function write(known: JournalEntry, next: EngineRow): Promise<boolean> {
    const outcome = await journal.write(engine.id, known, next);
    entry = outcome.kind === 'written' ? outcome.entry : undefined;
    if (outcome.kind === 'superseded') stop();
    if (outcome.kind === 'unavailable' || outcome.kind === 'unknown') {
      log.write('orderUnjournalled', { server: engine.id, failure: outcome.failure });
    }
    if (outcome.kind === 'unavailable') pause(JOURNAL_RETRY_MS);
    return outcome.kind === 'written';
  }

  function progressAfterFailedWrite(): Progress {
    return stopped || clock.now() < notBefore ? 'rest' : 'look-again';
  }

  function finish(finished: ChangeRequest | undefined, result: Result<void, Failure>): void {
    if (finished === undefined || finished !== requested) return;
    requested = undefined;
    finished.answer(result);
  }

  function refuse(code: FailureCode, step: Step, message: string): Failure {
    return createRefusal({ code, message, step, peer: engine.id });
  }

  function describe(order: JournalledOrder) {
    return { server: engine.id, orderId: order.id, fence: order.fence, wanted: order.wanted };
  }

  /** Does not end the drain: an order may still reach the engine. */
  function stop(): void {
    stopped = true;
    finish(
      requested,
      Err(refuse('lease-lost', 'order.journal', 'this node no longer holds the shard')),
    );
  }

  return {
    async start() {
      await read();
      if (!stopped && isOutstanding()) drain.begin();
    },
    updateState: wake,
    change(wanted) {
      if (stopped) {
        const message = 'this node no longer holds the shard';
        return Promise.resolve(Err(refuse('lease-lost', 'order.journal', message)));
      }
      if (requested !== undefined) {
        const message = 'another change of the engine is in progress';
        return Promise.resolve(Err(refuse('in-progress', 'order.journal', message)));
      }
      return new Promise((answer) => {
        requested = { wanted, answer };
        wake();
      });
    },
    isChanging: () => hasRequest() || drain.isHeld() || (running && isOutstanding()),
    stop,
  };
}
