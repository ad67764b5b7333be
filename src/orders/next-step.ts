/**
 * Decides what the holder of a shard does next about the orders of one engine. Pure: it sees the
 * journal, the engine's own word and what is wanted, and names one step. The task around it carries
 * the step out and asks again, so that a holder which starts anew, finds an order half given or lost
 * an answer goes on from what the journal and the engine say and from nothing that it remembers.
 *
 * Four rules keep an engine from receiving conflicting orders:
 *
 * 1. At most one order is outstanding. A different one follows only when the engine was seen to
 *    have carried out the one before.
 * 2. An outstanding order of another lease is finished as it is: the same id, number and state. A
 *    late copy by its first sender is then the same order, which the engine knows by its id.
 * 3. A different order goes to an engine that checks numbers at once, under a higher number, so
 *    that late copies of older ones are refused. To an engine that ignores them it goes only when
 *    every former holder provably sends nothing any more.
 * 4. An engine that restarted has forgotten ids and perhaps numbers. It is given the journalled
 *    order again, as it is.
 *
 * Superseding an outstanding order by a new one under a higher number was weighed for engines that
 * check: it needs a second order for the same state, and gains nothing, since the copy that it
 * would have refused asks for the same state. It is done only where the engine has seen a higher
 * number than the journal's and so refuses the journalled order.
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

/** What the decision depends on. */
export interface EngineView {
  row: EngineRow;
  state: EngineState;
  /** The lease under which orders would be given. */
  own: LeaseHolder;
  /** Whether the engine refuses old numbers; stated, never guessed. */
  checksFence: boolean;
  /** Whether every other lease that may have sent an order provably sends nothing any more. */
  othersCleared: boolean;
  /** What the engine should be; `undefined` when it should stay as it was last ordered. */
  desired: EngineSetup | undefined;
}

/**
 * The next step. `wait`: the engine carries an order out. `settle`: it has carried out the journalled
 * one. `resend`: send the journalled order, after journalling it under the own lease when `adopt`.
 * `order`: journal and send a new one. `withhold`: a new one is wanted and may not be given yet.
 * `forget`: write down that no former holder matters any more.
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
 * @param view what is known of the engine
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
  const mayDiffer = checksFence || othersCleared;
  if (order !== null && hasRestarted(state, order)) {
    const isSame = isSameSetup(target, order.wanted);
    if (isSame || !mayDiffer) return { kind: 'resend', order, adopt: true };
    return createOrder(view, target);
  }
  if (isObeyed(state, order, target)) return resolveForgetting(view, order);
  if (!mayDiffer) return { kind: 'withhold', wanted: target };
  return createOrder(view, target);
}

function hasRestarted(state: EngineState, order: JournalledOrder): boolean {
  return state.incarnation !== order.incarnation && state.lastOrderId !== order.id;
}

/** An engine that carried its order out and is something else yet is not asked again and again. */
function isObeyed(state: EngineState, order: JournalledOrder | null, target: EngineSetup): boolean {
  if (isSameSetup(resolveSetup(state), target)) return true;
  return state.lastOrderId === order?.id && isSameSetup(order.wanted, target);
}

function resolveForgetting(view: EngineView, order: JournalledOrder | null): NextStep {
  const { row, own, checksFence, othersCleared } = view;
  if (checksFence || !othersCleared || order === null) return { kind: 'none' };
  const isOther = order.by !== null && order.by.leaseId !== own.leaseId;
  return { kind: isOther || row.formers.length > 0 ? 'forget' : 'none' };
}

function createOrder(view: EngineView, wanted: EngineSetup): NextStep {
  const fence = Math.max(view.row.fence, view.state.fence) + 1;
  return { kind: 'order', wanted, fence };
}
