/**
 * Drawn histories of a fleet whose gateways retry failing requests while they are killed, cut off, frozen and
 * replaced, in virtual time.
 */
import type { Clock, RandomSource } from '../../src/task/index.js';
import type { FleetBound, FleetRecord } from '../../tools/common/retry-bound.js';

/** Length of a history, in ms. */
const HISTORY_MS = 45_000;
/** Time in which a gateway that has started finds the others, in ms. */
const MAX_DISCOVERY_MS = 1_000;
/** Time after which a gateway that hears nobody takes itself for isolated, in ms. */
const ISOLATED_AFTER_MS = 1_050;
/** Retries of one request at most. */
const MAX_RETRIES = 2;

/** What a gateway's budget may go by. */
export interface GatewayView {
  clock: Clock;
  bound: FleetBound;
  /** Other gateways that it reaches; it finds them some time after its start. */
  reachablePeers(): number;
  /** Whether it has ever found the others. */
  hasFoundPeers(): boolean;
  /** Most gateways that ran at once so far. */
  largestFleet(): number;
}

/** The budget of one gateway's process. */
export interface ProcessBudget {
  requestReceived(): void;
  /** Pays for a retry; `undefined` if the budget is spent. */
  pay(): PaidRetry | undefined;
  /** Pays for a retry of another gateway. */
  lend(): boolean;
}

/** A retry that is paid and not sent yet. */
export interface PaidRetry {
  /** Whether it may still be sent now. */
  maySend(): boolean;
}

/** Kinds of faults that gateways suffer. */
export const gatewayFaults = ['kill', 'roll', 'cut', 'freeze', 'replace'] as const;

export type GatewayFault = (typeof gatewayFaults)[number];

/** A drawn history. */
export interface FleetHistory {
  /** Faults to draw from; none if empty. */
  faults: readonly GatewayFault[];
  gateways: number;
  /** Requests of all callers, per second. */
  requestsPerSecond: number;
  random: RandomSource;
}

interface Process {
  startedAt: number;
  foundAt: number;
  budget: ProcessBudget;
  isRunning: boolean;
}

interface Slot {
  process: Process;
  /** Since when nobody reaches it, and until when. */
  cutAt: number;
  cutUntil: number;
  frozenUntil: number;
}

interface Event {
  at: number;
  action: () => void;
}

/** Plays a history and records what reached the service. */
export function playHistory(
  history: FleetHistory,
  bound: FleetBound,
  createBudget: (view: GatewayView) => ProcessBudget,
): FleetRecord {
  const { random } = history;
  const events = createEventQueue();
  const record: FleetRecord = { requests: [], retries: [] };
  const slots: Slot[] = [];
  let now = 0;
  const clock: Clock = {
    now: () => now,
    after: () => ({ cancel: () => undefined }),
  };

  function between(least: number, most: number): number {
    return least + (most - least) * random.next();
  }

  function startProcess(slot: () => Slot): Process {
    const startedAt = now;
    const foundAt = now + between(20, MAX_DISCOVERY_MS);
    const view: GatewayView = {
      clock,
      bound,
      reachablePeers: () => countReachable(slot()),
      hasFoundPeers: () => now >= foundAt,
      largestFleet: () => slots.length,
    };
    return { startedAt, foundAt, budget: createBudget(view), isRunning: true };
  }

  function countReachable(slot: Slot): number {
    if (now < slot.process.foundAt || isIsolated(slot)) return 0;
    return slots.filter((other) => other !== slot && isReachable(other)).length;
  }

  function isReachable(slot: Slot): boolean {
    return slot.process.isRunning && !isCut(slot) && now >= slot.frozenUntil;
  }

  function isCut(slot: Slot): boolean {
    return now >= slot.cutAt && now < slot.cutUntil;
  }

  function isIsolated(slot: Slot): boolean {
    return isCut(slot) && now - slot.cutAt > ISOLATED_AFTER_MS;
  }

  function addSlot(): Slot {
    const slot: Slot = {
      process: { startedAt: 0, foundAt: 0, budget: noBudget, isRunning: false },
      cutAt: 0,
      cutUntil: 0,
      frozenUntil: 0,
    };
    slot.process = startProcess(() => slot);
    slots.push(slot);
    return slot;
  }

  function pick(share: number): Slot[] {
    const count = Math.max(1, Math.round(share * slots.length));
    const offset = Math.floor(random.next() * slots.length);
    return [...slots.slice(offset), ...slots.slice(0, offset)].slice(0, count);
  }

  function kill(slot: Slot): void {
    slot.process.isRunning = false;
  }

  function restart(slot: Slot): void {
    slot.process = startProcess(() => slot);
    slot.frozenUntil = 0;
  }

  function killFor(share: number, downMs: number): void {
    for (const slot of pick(share)) {
      kill(slot);
      events.add(now + downMs, () => {
        restart(slot);
      });
    }
  }

  function roll(gapMs: number): void {
    let at = now;
    for (const slot of [...slots]) {
      events.add(at, () => {
        kill(slot);
      });
      events.add(at + 400, () => {
        restart(slot);
      });
      at += gapMs;
    }
  }

  function cut(share: number, forMs: number): void {
    for (const slot of pick(share)) {
      slot.cutAt = now;
      slot.cutUntil = now + forMs;
    }
  }

  function freeze(share: number, forMs: number): void {
    for (const slot of pick(share)) slot.frozenUntil = now + forMs;
  }

  function replace(share: number): void {
    for (const slot of pick(share)) {
      kill(slot);
      events.add(now + 1_000, () => {
        slots.splice(slots.indexOf(slot), 1);
        addSlot();
      });
    }
  }

  function drawFaults(): void {
    const series = 1 + Math.floor(random.next() * 3);
    for (let index = 0; index < series; index += 1) drawSeries();
  }

  function drawSeries(): void {
    const share = random.next() < 0.4 ? 1 : between(0.1, 0.6);
    const times = 1 + Math.floor(random.next() * 9);
    const gapMs = between(1_000, 4_000);
    const fault = history.faults[Math.floor(random.next() * history.faults.length)];
    let at = between(11_000, 25_000);
    for (let time = 0; time < times; time += 1) {
      events.add(at, () => {
        if (fault === 'kill') killFor(share, between(200, 600));
        else if (fault === 'roll' && time === 0) roll(Math.min(1_500, 15_000 / slots.length));
        else if (fault === 'cut') cut(share, between(500, 5_000));
        else if (fault === 'freeze') freeze(share, between(500, 3_000));
        else if (fault === 'replace' && time === 0) replace(Math.min(share, 0.5));
      });
      at += gapMs;
    }
  }

  function drawOutage(): (at: number) => number {
    const share = between(0.2, 1);
    const beginsAt = between(8_000, 16_000);
    const endsAt = beginsAt + between(4_000, 25_000);
    return (at) => (at >= beginsAt && at < endsAt ? share : 0.002);
  }

  function drawRequests(): void {
    const swing = between(0, 0.4);
    const periodMs = between(3_000, 15_000);
    const waitsMs = random.next() < 0.5 ? 0 : between(100, 1_500);
    const failShare = drawOutage();
    let at = 0;
    while (at < HISTORY_MS) {
      const rate =
        history.requestsPerSecond * (1 + swing * Math.sin((at / periodMs) * 2 * Math.PI));
      at += (-Math.log(1 - random.next()) * 1_000) / rate;
      events.add(at, () => {
        receive(waitsMs, failShare);
      });
    }
  }

  function receive(waitsMs: number, failShare: (at: number) => number): void {
    record.requests.push(now);
    const slot = slots[Math.floor(random.next() * slots.length)];
    if (!slot?.process.isRunning) return;
    const { process } = slot;
    if (now < slot.frozenUntil) {
      events.add(slot.frozenUntil, () => {
        serve(slot, process, waitsMs, failShare);
      });
      return;
    }
    serve(slot, process, waitsMs, failShare);
  }

  function serve(
    slot: Slot,
    process: Process,
    waitsMs: number,
    failShare: (at: number) => number,
  ): void {
    if (!process.isRunning) return;
    process.budget.requestReceived();
    retry(slot, process, 0, waitsMs, failShare);
  }

  function retry(
    slot: Slot,
    process: Process,
    retries: number,
    waitsMs: number,
    failShare: (at: number) => number,
  ): void {
    if (retries >= MAX_RETRIES || random.next() >= failShare(now)) return;
    const paid = process.budget.pay() ?? borrow(slot);
    if (paid === undefined) return;
    events.add(now + 1 + waitsMs * random.next(), () => {
      if (!process.isRunning || now < slot.frozenUntil || !paid.maySend()) return;
      record.retries.push(now);
      retry(slot, process, retries + 1, waitsMs, failShare);
    });
  }

  function borrow(slot: Slot): PaidRetry | undefined {
    if (countReachable(slot) === 0) return undefined;
    const lender = slots[Math.floor(random.next() * slots.length)];
    if (!lender || lender === slot || !isReachable(lender)) return undefined;
    return lender.process.budget.lend() ? { maySend: () => true } : undefined;
  }

  for (let index = 0; index < history.gateways; index += 1) addSlot();
  drawRequests();
  drawFaults();
  for (let next = events.take(); next !== undefined; next = events.take()) {
    now = Math.max(now, next.at);
    next.action();
  }
  return record;
}

const noBudget: ProcessBudget = {
  requestReceived: () => undefined,
  pay: () => undefined,
  lend: () => false,
};

/** Events in the order of their times. */
function createEventQueue() {
  const heap: Event[] = [];

  function timeAt(index: number): number {
    return heap[index]?.at ?? Number.POSITIVE_INFINITY;
  }

  /** Moves an event up from an index while it is earlier than its parent. */
  function raise(event: Event, from: number): void {
    let index = from;
    while (index > 0 && event.at < timeAt((index - 1) >> 1)) {
      const parent = (index - 1) >> 1;
      heap.splice(index, 1, ...heap.slice(parent, parent + 1));
      index = parent;
    }
    heap[index] = event;
  }

  /** Moves an event down from the root while one of its children is earlier. */
  function lower(event: Event): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const least = timeAt(left + 1) < timeAt(left) ? left + 1 : left;
      if (timeAt(least) >= event.at) break;
      heap.splice(index, 1, ...heap.slice(least, least + 1));
      index = least;
    }
    heap[index] = event;
  }

  return {
    add(at: number, action: () => void): void {
      raise({ at, action }, heap.length);
    },
    take(): Event | undefined {
      const first = heap[0];
      const last = heap.pop();
      if (heap.length > 0 && last !== undefined) lower(last);
      return first;
    },
  };
}
