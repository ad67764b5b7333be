/**
 * The task that gives orders to one engine of a held shard. It looks at the journal and at the
 * engine, lets `resolveNextStep` choose, carries the one step out and looks again, until nothing is
 * left to do. Whatever was lost on the way (an answer of the table, an answer of the engine, the
 * engine itself) shows when it looks again.
 *
 * An order is sent only while the lease is valid, and its receipt is waited for no longer than half
 * of the time between the holder's and the taker's limit, so that it has ended before a successor
 * can begin, unless the process is paused in between; that case is what the journal is for.
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

const LOOK_EVERY_MS = 250;
const WITHHELD_AGAIN_MS = 5_000;
const JOURNAL_AGAIN_MS = 2_000;
/** How often a proof is looked for that is needed for nothing yet. */
const PROOF_EVERY_MS = 60_000;

/** Limits of giving orders, in milliseconds. */
export interface OrderTerms {
  /** How long an engine is kept free of new work at most before its change is given up. */
  drainMs: number;
  /** How long after a change was given up it is tried again. */
  tryAgainMs: number;
  /** How long the receipt of an order is waited for. */
  sendMs: number;
}

/** What giving orders to an engine needs. */
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
  /** Whether the engine refuses old fencing numbers. */
  checksFence(): boolean;
  /** Whether the lease under which the shard is held may be relied on. */
  isLeaseValid(): boolean;
  /** A wanted state with what the engine's groups want besides, so that it is changed once. */
  completeByGroups(wanted: EngineSetup): EngineSetup;
  /** What the engine's groups want of it; `undefined` when it lacks nothing or has to wait. */
  wantedByGroups(present: EngineSetup): EngineSetup | undefined;
  /** The engine's word after it carried an order out, for the tally. */
  learned(state: EngineState): void;
  /** Nothing is under way any more. */
  rested(): void;
}

/** The orders of one engine. */
export interface EngineOrders {
  /** Reads the journal; an engine whose last order may still be on its way gets no work until it is settled. */
  start(): Promise<void>;
  /** The engine answered a look at its state; a moment to see whether anything is to be done. */
  updateState(state: EngineState): void;
  /** Changes the engine; settles when the change took effect or was given up. */
  change(wanted: EngineSetup): Promise<Result<void, Failure>>;
  /** Whether a change is wanted or under way. */
  isChanging(): boolean;
  /** Gives no further orders. */
  stop(): void;
}

/** A change that was asked for. */
interface Aim {
  wanted: EngineSetup;
  answer(result: Result<void, Failure>): void;
}

/** One look at the engine and its journal. */
interface Sight {
  entry: JournalEntry;
  state: EngineState;
  aim: Aim | undefined;
  step: NextStep;
}

/** Whether to look again soon, or to rest until the engine is next heard of. */
type Progress = 'look-again' | 'rest';

/**
 * Creates the orders of an engine.
 *
 * @param parts the engine, its journal and the limits
 */
export function createEngineOrders(parts: EngineOrdersParts): EngineOrders {
  const { engine, held, journal, formers, drain, pace, clock, log, metrics, terms } = parts;
  const own = held.holder;
  let entry: JournalEntry | undefined;
  let aim: Aim | undefined;
  let running = false;
  let stopped = false;
  let notBefore = 0;
  let proofDueAt = 0;
  let withheldFence: number | undefined;

  function kick(hint?: EngineState): void {
    if (running || stopped || clock.now() < notBefore) return;
    running = true;
    void run(hint).finally(() => {
      running = false;
    });
  }

  async function run(hint: EngineState | undefined): Promise<void> {
    if (hint !== undefined && (await isAtRest(hint))) return;
    while (!stopped && clock.now() >= notBefore) {
      const progress = await advance();
      if (progress === 'rest') break;
      await wait(clock, LOOK_EVERY_MS);
    }
    parts.rested();
  }

  /** A state that someone else read is enough to see that nothing is to be done, and for no more. */
  async function isAtRest(hint: EngineState): Promise<boolean> {
    if (entry === undefined || hasAim() || drain.isHeld()) return false;
    const sight = await see(hint);
    return sight?.step.kind === 'none' && !hasAim();
  }

  function isOutstanding(): boolean {
    return entry?.row.order?.state === 'outstanding';
  }

  function hasAim(): boolean {
    return aim !== undefined;
  }

  async function advance(): Promise<Progress> {
    if (!parts.isLeaseValid()) return restWithoutLease();
    const state = await engine.state();
    if (state.isErr()) return endureSilence(state.error);
    const sight = await see(state.value);
    if (sight === undefined || stopped) return 'rest';
    return carryOut(sight);
  }

  /** Work is let in, unless an order that was sent may be about to reach the engine. */
  function restWithoutLease(): Progress {
    if (!isOutstanding() || drain.heldForMs() >= terms.drainMs) drain.end();
    return 'rest';
  }

  function endureSilence(failure: Failure): Progress {
    if (drain.isHeld() && drain.heldForMs() <= terms.drainMs) return 'look-again';
    drain.end();
    finish(aim, Err(failure));
    return 'rest';
  }

  async function see(state: EngineState): Promise<Sight | undefined> {
    const known = entry ?? (await read());
    if (known === undefined) return undefined;
    const seenAim = aim;
    const { row } = known;
    const step = await choose({
      row,
      state,
      own,
      checksFence: parts.checksFence(),
      othersCleared: listOthers(row, own).length === 0,
      desired: resolveDesired(seenAim, row, state),
    });
    return { entry: known, state, aim: seenAim, step };
  }

  /** Proofs cost reads of the table, so they are looked for only where they change the step. */
  async function choose(view: EngineView): Promise<NextStep> {
    const step = resolveNextStep(view);
    if (view.checksFence || view.othersCleared || !isProofDue(step)) return step;
    const othersCleared = await areOthersCleared(formers, engine.id, view.row, own);
    return othersCleared ? resolveNextStep({ ...view, othersCleared }) : step;
  }

  function isProofDue(step: NextStep): boolean {
    if (step.kind === 'withhold') return true;
    if (step.kind === 'resend') return step.order.state === 'settled';
    if (step.kind !== 'none' || clock.now() < proofDueAt) return false;
    proofDueAt = clock.now() + PROOF_EVERY_MS;
    return true;
  }

  function resolveDesired(
    seenAim: Aim | undefined,
    row: EngineRow,
    state: EngineState,
  ): EngineSetup | undefined {
    if (seenAim !== undefined) return parts.completeByGroups(seenAim.wanted);
    return parts.wantedByGroups(row.order?.wanted ?? resolveSetup(state));
  }

  async function read(): Promise<JournalEntry | undefined> {
    const found = await journal.read(engine.id);
    if (found.isErr()) {
      log.write('orderUnjournalled', { server: engine.id, failure: found.error });
      pause(JOURNAL_AGAIN_MS);
      return undefined;
    }
    entry = found.value;
    return entry;
  }

  /** Lets work in and tries nothing for a while. */
  function pause(delayMs: number): void {
    drain.end();
    notBefore = clock.now() + delayMs;
  }

  function carryOut(sight: Sight): Progress | Promise<Progress> {
    if (sight.state.leaving) return leave(sight);
    return match(sight.step)
      .with({ kind: 'none' }, () => rest(sight))
      .with({ kind: 'wait' }, (): Progress => 'look-again')
      .with({ kind: 'forget' }, () => forget(sight))
      .with({ kind: 'settle' }, ({ order }) => settle(sight, order))
      .with({ kind: 'resend' }, ({ order, adopt }) => resend(sight, order, adopt))
      .with({ kind: 'order' }, ({ wanted, fence }) => giveNew(sight, wanted, fence))
      .with({ kind: 'withhold' }, () => withhold(sight))
      .exhaustive();
  }

  function rest(sight: Sight): Progress {
    pace.reset();
    drain.end();
    finish(sight.aim, Ok(undefined));
    return aim === undefined ? 'rest' : 'look-again';
  }

  /** An engine that leaves needs nothing any more. */
  function leave(sight: Sight): Progress {
    drain.end();
    const message = 'the engine said that it leaves';
    finish(sight.aim, Err(refuse('leaving', 'order.send', message)));
    return 'rest';
  }

  async function forget({ entry: known }: Sight): Promise<Progress> {
    const { row } = known;
    const order = row.order === null ? null : { ...row.order, by: null };
    return (await write(known, { ...row, order, formers: [] }))
      ? 'look-again'
      : progressAfterLoss();
  }

  async function settle(sight: Sight, order: JournalledOrder): Promise<Progress> {
    const { row } = sight.entry;
    const { incarnation } = sight.state;
    const settled: JournalledOrder = { ...order, state: 'settled', incarnation };
    const remaining = parts.checksFence() ? [] : row.formers;
    const isWritten = await write(sight.entry, { ...row, order: settled, formers: remaining });
    if (!isWritten) return progressAfterLoss();
    pace.reset();
    parts.learned(sight.state);
    log.write('orderSettled', describe(order));
    metrics.orders.inc({ outcome: 'settled' });
    return 'look-again';
  }

  async function resend(sight: Sight, order: JournalledOrder, adopt: boolean): Promise<Progress> {
    const prepared = await prepare(sight, order.wanted);
    if (prepared !== 'ready') return prepared;
    if (!adopt) return send(order);
    const { row } = sight.entry;
    const adopted: JournalledOrder = { ...order, by: own, state: 'outstanding', incarnation: null };
    const next: EngineRow = { ...row, order: adopted, formers: listOthers(row, own) };
    if (!(await write(sight.entry, next))) return progressAfterLoss();
    return send(adopted);
  }

  async function giveNew(sight: Sight, wanted: EngineSetup, fence: number): Promise<Progress> {
    const prepared = await prepare(sight, wanted);
    if (prepared !== 'ready') return prepared;
    const order: JournalledOrder = {
      id: parts.createId(),
      fence,
      wanted,
      by: own,
      state: 'outstanding',
      incarnation: null,
    };
    if (!(await write(sight.entry, { fence, order, formers: [] }))) return progressAfterLoss();
    log.write('orderJournalled', describe(order));
    return send(order);
  }

  /** Sees to the tickets for what the engine would load, then to its being idle. */
  async function prepare({ state }: Sight, wanted: EngineSetup): Promise<Progress | 'ready'> {
    const paced = await pace.request(listLoads(resolveSetup(state), wanted));
    if (paced.kind === 'later') {
      log.write('loadPaced', { server: engine.id, failure: paced.failure });
      if (drain.heldForMs() >= terms.drainMs) return giveUp();
      notBefore = clock.now() + paced.askAgainMs;
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
    return giveUp();
  }

  /** Work is never cut for a change: the change waits for another time. */
  function giveUp(): Progress {
    log.write('drainGivenUp', { server: engine.id });
    metrics.orders.inc({ outcome: 'given-up' });
    pause(terms.tryAgainMs);
    finish(
      aim,
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

  function withhold(sight: Sight): Progress {
    const { row } = sight.entry;
    if (withheldFence !== row.fence) {
      withheldFence = row.fence;
      const others = listOthers(row, own).map(({ holder }) => holder.node);
      log.write('ordersWithheld', { server: engine.id, fence: row.fence, formers: others });
      metrics.orders.inc({ outcome: 'withheld' });
    }
    pause(WITHHELD_AGAIN_MS);
    const message = 'a former holder may still order this engine';
    finish(sight.aim, Err(refuse('order-refused', 'order.journal', message)));
    return 'rest';
  }

  /** @returns whether the row is certainly as given; otherwise it is read again. */
  async function write(known: JournalEntry, next: EngineRow): Promise<boolean> {
    const outcome = await journal.write(engine.id, known, next);
    entry = outcome.kind === 'written' ? outcome.entry : undefined;
    if (outcome.kind === 'superseded') stop();
    if (outcome.kind === 'unavailable' || outcome.kind === 'unknown') {
      log.write('orderUnjournalled', { server: engine.id, failure: outcome.failure });
    }
    if (outcome.kind === 'unavailable') pause(JOURNAL_AGAIN_MS);
    return outcome.kind === 'written';
  }

  function progressAfterLoss(): Progress {
    return stopped || clock.now() < notBefore ? 'rest' : 'look-again';
  }

  function finish(finished: Aim | undefined, result: Result<void, Failure>): void {
    if (finished === undefined || finished !== aim) return;
    aim = undefined;
    finished.answer(result);
  }

  function refuse(code: FailureCode, step: Step, message: string): Failure {
    return createRefusal({ code, message, step, peer: engine.id });
  }

  function describe(order: JournalledOrder) {
    return { server: engine.id, orderId: order.id, fence: order.fence, wanted: order.wanted };
  }

  /** An engine that is kept free stays so: its order may still be on its way. */
  function stop(): void {
    stopped = true;
    finish(aim, Err(refuse('lease-lost', 'order.journal', 'the shard is not held here any more')));
  }

  return {
    async start() {
      await read();
      if (!stopped && isOutstanding()) drain.begin();
    },
    updateState: kick,
    change(wanted) {
      if (stopped) {
        const message = 'the shard is not held here any more';
        return Promise.resolve(Err(refuse('lease-lost', 'order.journal', message)));
      }
      if (aim !== undefined) {
        const message = 'another change of the engine is under way';
        return Promise.resolve(Err(refuse('in-progress', 'order.journal', message)));
      }
      return new Promise((answer) => {
        aim = { wanted, answer };
        kick();
      });
    },
    isChanging: () => hasAim() || drain.isHeld() || (running && isOutstanding()),
    stop,
  };
}
