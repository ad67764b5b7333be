/**
 * Drawn histories of a fleet whose gateways retry failing requests while they are killed, cut off, frozen and
 * replaced, in virtual time.
 */
import type { Clock, RandomSource } from '../../src/task/index.js';
import type { FleetRecord } from '../../tools/common/retry-bound.js';
import { createSteppedClock } from '../fixtures/peer-network.js';

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
  /** When it finds the others, in ms. */
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

/** How requests come and fail in one history. */
interface Load {
  /** Part of the mean rate by which the rate swings, and how long a swing takes in ms. */
  swing: number;
  periodMs: number;
  /** Longest time that a retry waits before it is sent, in ms. */
  maxWaitMs: number;
  /** Part of the requests that fail while the outage lasts, and its times in ms. */
  failShare: number;
  outageFrom: number;
  outageUntil: number;
}

/** Part of the requests that fail outside of the outage. */
const USUAL_FAIL_SHARE = 0.002;

/** Plays a history and records what reached the service. */
export function playHistory(
  history: FleetHistory,
  createBudget: (view: GatewayView) => ProcessBudget,
): FleetRecord {
  const { random } = history;
  const { clock, advance } = createSteppedClock();
  const record: FleetRecord = { requests: [], retries: [] };
  const slots: Slot[] = [];
  const load = drawLoad();

  function between(least: number, most: number): number {
    return least + (most - least) * random.next();
  }

  function startProcess(slot: () => Slot): Process {
    const foundAt = clock.now() + between(20, MAX_DISCOVERY_MS);
    const view: GatewayView = {
      clock,
      reachablePeers: () => countReachable(slot()),
      hasFoundPeers: () => clock.now() >= foundAt,
      largestFleet: () => slots.length,
    };
    return { foundAt, budget: createBudget(view), isRunning: true };
  }

  function countReachable(slot: Slot): number {
    if (clock.now() < slot.process.foundAt || isIsolated(slot)) return 0;
    return slots.filter((other) => other !== slot && isReachable(other)).length;
  }

  function isReachable(slot: Slot): boolean {
    return slot.process.isRunning && !isCut(slot) && clock.now() >= slot.frozenUntil;
  }

  function isCut(slot: Slot): boolean {
    return clock.now() >= slot.cutAt && clock.now() < slot.cutUntil;
  }

  function isIsolated(slot: Slot): boolean {
    return isCut(slot) && clock.now() - slot.cutAt > ISOLATED_AFTER_MS;
  }

  function addSlot(): Slot {
    const slot: Slot = {
      process: { foundAt: 0, budget: noBudget, isRunning: false },
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
      clock.after(downMs, () => {
        restart(slot);
      });
    }
  }

  function roll(gapMs: number): void {
    let delayMs = 0;
    for (const slot of slots) {
      clock.after(delayMs, () => {
        kill(slot);
      });
      clock.after(delayMs + 400, () => {
        restart(slot);
      });
      delayMs += gapMs;
    }
  }

  function cut(share: number, forMs: number): void {
    for (const slot of pick(share)) {
      slot.cutAt = clock.now();
      slot.cutUntil = clock.now() + forMs;
    }
  }

  function freeze(share: number, forMs: number): void {
    for (const slot of pick(share)) slot.frozenUntil = clock.now() + forMs;
  }

  function replace(share: number): void {
    for (const slot of pick(share)) {
      kill(slot);
      clock.after(1_000, () => {
        const index = slots.indexOf(slot);
        if (index < 0) return;
        slots.splice(index, 1);
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
      clock.after(at, () => {
        if (fault === 'kill') killFor(share, between(200, 600));
        else if (fault === 'roll' && time === 0) roll(Math.min(1_500, 15_000 / slots.length));
        else if (fault === 'cut') cut(share, between(500, 5_000));
        else if (fault === 'freeze') freeze(share, between(500, 3_000));
        else if (fault === 'replace' && time === 0) replace(Math.min(share, 0.5));
      });
      at += gapMs;
    }
  }

  function drawLoad(): Load {
    const outageFrom = between(8_000, 16_000);
    return {
      swing: between(0, 0.4),
      periodMs: between(3_000, 15_000),
      maxWaitMs: random.next() < 0.5 ? 0 : between(100, 1_500),
      failShare: between(0.2, 1),
      outageFrom,
      outageUntil: outageFrom + between(4_000, 25_000),
    };
  }

  function drawRequests(): void {
    let at = 0;
    while (at < HISTORY_MS) {
      const swing = load.swing * Math.sin((at / load.periodMs) * 2 * Math.PI);
      const rate = history.requestsPerSecond * (1 + swing);
      at += (-Math.log(1 - random.next()) * 1_000) / rate;
      clock.after(at, receive);
    }
  }

  function receive(): void {
    record.requests.push(clock.now());
    const slot = slots[Math.floor(random.next() * slots.length)];
    if (!slot?.process.isRunning) return;
    const { process } = slot;
    const frozenMs = slot.frozenUntil - clock.now();
    if (frozenMs <= 0) serve(slot, process);
    else
      clock.after(frozenMs, () => {
        serve(slot, process);
      });
  }

  function serve(slot: Slot, process: Process): void {
    if (!process.isRunning) return;
    process.budget.requestReceived();
    retry(slot, process, MAX_RETRIES);
  }

  function retry(slot: Slot, process: Process, left: number): void {
    if (left === 0 || !fails()) return;
    const paid = process.budget.pay();
    if (paid === undefined) return;
    clock.after(1 + load.maxWaitMs * random.next(), () => {
      if (!process.isRunning || clock.now() < slot.frozenUntil || !paid.maySend()) return;
      record.retries.push(clock.now());
      retry(slot, process, left - 1);
    });
  }

  function fails(): boolean {
    const isOutage = clock.now() >= load.outageFrom && clock.now() < load.outageUntil;
    return random.next() < (isOutage ? load.failShare : USUAL_FAIL_SHARE);
  }

  for (let index = 0; index < history.gateways; index += 1) addSlot();
  drawRequests();
  drawFaults();
  advance(HISTORY_MS);
  return record;
}

const noBudget: ProcessBudget = {
  requestReceived: () => undefined,
  pay: () => undefined,
};
