/**
 * Decides the next step for the orders of one engine. A pure function of the journal, the engine's
 * reported state and the desired setup. The caller carries the step out and decides again, so that
 * recovery after a restart, a half-sent order or a lost answer needs no memory beyond the journal
 * and the engine.
 *
 * Four rules keep an engine from receiving conflicting orders:
 *
 * 1. At most one order is outstanding. A different one follows only after the engine has been
 *    observed to have carried out the one before.
 * 2. An outstanding order of another lease is completed unchanged: same id, fencing number and
 *    setup. A late copy by its first sender is then a duplicate, which the engine knows by its id.
 * 3. An engine that checks fencing numbers gets a different order at once, under a higher number, so
 *    that it refuses late copies of older ones. An engine that ignores them gets it only after
 *    every former holder provably can no longer send.
 * 4. An engine that restarted has lost its ids and perhaps its number. It is sent the journalled
 *    order again, unchanged.
 *
 * An outstanding order is not superseded by a new one under a higher number, since a late copy of
 * it asks for the same setup. The exception is an engine that has seen a higher number than the
 * journal's and therefore refuses the journalled order.
 */
import type { LeaseHolder } from '../lease/index.js';
import type { EngineState } from '../ports/index.js';
import {
  isSameSetup,
  resolveSetup,
  type EngineRow,
  type EngineSetup,
  type JournalledOrder,
} from './rows.js';

/** Input of the decision. */
export interface EngineView {
  row: EngineRow;
  state: EngineState;
  /** The lease under which orders are sent. */
  own: LeaseHolder;
  /** Whether the engine refuses old fencing numbers; as its VM declares, never guessed. */
  checksFence: boolean;
  /** Whether every other holder that may have sent an order provably can no longer send. */
  othersCleared: boolean;
  /** The wanted setup; `undefined` to keep the last ordered one. */
  desired: EngineSetup | undefined;
}

/**
 * The next step. `wait`: the engine is carrying out an order. `settle`: record that it has carried
 * out the journalled one. `resend`: send the journalled order, first journalled under the own lease
 * if `adopt`. `order`: journal and send a new one. `withhold`: a new one is wanted but may not be
 * sent yet. `forget`: remove former holders, which can no longer send, from the journal.
 */
export type NextStep =
  | { kind: 'none' | 'wait' | 'forget' }
  | { kind: 'settle'; order: JournalledOrder }
  | { kind: 'resend'; order: JournalledOrder; adopt: boolean }
  | { kind: 'order'; wanted: EngineSetup; fence: number }
  | { kind: 'withhold'; wanted: EngineSetup };

/**
 * Chooses the next step.
 *
 * @param view the journal, the engine's state and the desired setup
 */
export function resolveNextStep(view: EngineView): NextStep {
  const { order } = view.row;
  if (view.state.busy) return { kind: 'wait' };
  if (order?.state === 'outstanding') return resolveOutstanding(view, order);
  return resolveSettled(view, order);
}

function resolveOutstanding(view: EngineView, order: JournalledOrder): NextStep {
  const { state, own, checksFence } = view;
  if (state.lastOrderId === order.id) return { kind: 'settle', order };
  if (checksFence && state.fence > order.fence) return createOrder(view, order.wanted);
  return { kind: 'resend', order, adopt: order.by?.leaseId !== own.leaseId };
}

function resolveSettled(view: EngineView, order: JournalledOrder | null): NextStep {
  const { state, checksFence, othersCleared } = view;
  const target = view.desired ?? order?.wanted;
  if (target === undefined) return { kind: 'none' };
  const canSendNew = checksFence || othersCleared;
  if (order !== null && hasRestarted(state, order)) {
    const isSame = isSameSetup(target, order.wanted);
    if (isSame || !canSendNew) return { kind: 'resend', order, adopt: true };
    return createOrder(view, target);
  }
  if (isSatisfied(state, order, target)) return resolveSatisfied(view, order);
  if (!canSendNew) return { kind: 'withhold', wanted: target };
  return createOrder(view, target);
}

function hasRestarted(state: EngineState, order: JournalledOrder): boolean {
  return state.incarnation !== order.incarnation && state.lastOrderId !== order.id;
}

/** True also if the engine carried out an order for the target but differs: no order is repeated. */
function isSatisfied(
  state: EngineState,
  order: JournalledOrder | null,
  target: EngineSetup,
): boolean {
  if (isSameSetup(resolveSetup(state), target)) return true;
  return state.lastOrderId === order?.id && isSameSetup(order.wanted, target);
}

function resolveSatisfied(view: EngineView, order: JournalledOrder | null): NextStep {
  const { row, own, checksFence, othersCleared } = view;
  if (checksFence || !othersCleared || order === null) return { kind: 'none' };
  const isOther = order.by !== null && order.by.leaseId !== own.leaseId;
  return { kind: isOther || row.formers.length > 0 ? 'forget' : 'none' };
}

function createOrder(view: EngineView, wanted: EngineSetup): NextStep {
  const fence = Math.max(view.row.fence, view.state.fence) + 1;
  return { kind: 'order', wanted, fence };
}
