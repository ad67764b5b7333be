import { Socket } from 'node:net';
import { expect } from 'chai';
import {
  createAdmission,
  createArrivals,
  type Admission,
  type AdmissionDecision,
} from '../../src/arrivals/index.js';
import { createGatewayMetrics } from '../../src/metrics/index.js';
import { createSeededRandom, type Clock } from '../../src/task/index.js';
import { admitAll, createKeptLog } from '../fixtures/gateway.js';

const OBJECTIVE_MS = 150;
const DEADLINE_MS = 2_000;
/** Steps of a request, each in a turn of the event loop. */
const STEPS = 4;
const STEP_MS = 1;
/** Time between two steps, in which a peer or a server is at work. */
const GAP_MS = 5;
const REFUSAL_MS = 0.1;
/** Requests a second that take all of the processor. */
const CAPACITY = 1_000 / (STEPS * STEP_MS);
const SECONDS = 20;
/** The stated aim: answers in time beyond the capacity, as a share of those at it. */
const SHARE = 0.9;
const MAX_REFUSAL_MS = 100;

/** A request in the simulation. */
interface SimulatedRequest {
  sentAt: number;
  readyAt: number;
  stepsLeft: number;
}

/** What became of the requests of a simulation. */
interface Tally {
  inTime: number;
  refused: number;
  longestRefusalMs: number;
  shortestRetryMs: number;
}

interface SimulatedClock extends Clock {
  advance(ms: number): void;
}

function createSimulatedClock(): SimulatedClock {
  let now = 0;
  return {
    now: () => now,
    after: () => ({ cancel: () => undefined }),
    advance(ms) {
      now += ms;
    },
  };
}

function createTestAdmission(clock: Clock): Admission {
  return createAdmission({
    clock,
    random: createSeededRandom(2),
    log: createKeptLog(),
    metrics: createGatewayMetrics(),
    objectiveMs: () => OBJECTIVE_MS,
  });
}

/**
 * One event loop under a steady load.
 *
 * @param load requests, as a multiple of what the processor can serve
 * @param admissionOf what decides on them
 */
function simulate(load: number, admissionOf: (clock: Clock) => Admission): Tally {
  const clock = createSimulatedClock();
  const random = createSeededRandom(1);
  const socket = new Socket();
  const admission = admissionOf(clock);
  const tally: Tally = {
    inTime: 0,
    refused: 0,
    longestRefusalMs: 0,
    shortestRetryMs: Number.POSITIVE_INFINITY,
  };
  let idleMs = 0;
  let turnEnded: (() => void)[] = [];
  const arrivals = createArrivals({
    clock,
    log: createKeptLog(),
    metrics: createGatewayMetrics(),
    idleMs: () => idleMs,
    atTurnEnd: (ended) => turnEnded.push(ended),
  });
  let nextArrivalAt = 0;
  let inFlight: SimulatedRequest[] = [];

  function takeArrived(): SimulatedRequest[] {
    const arrived: SimulatedRequest[] = [];
    while (nextArrivalAt <= clock.now()) {
      arrived.push({ sentAt: nextArrivalAt, readyAt: nextArrivalAt, stepsLeft: STEPS });
      nextArrivalAt += (2 * random.next() * 1_000) / (CAPACITY * load);
    }
    return arrived;
  }

  function read(request: SimulatedRequest): void {
    const decision = admission.decide(arrivals.requestRead(socket), DEADLINE_MS);
    if (decision.isAdmitted) step(request);
    else refuse(request, decision);
  }

  function refuse(
    { sentAt }: SimulatedRequest,
    { retryAfterMs }: AdmissionDecision & { isAdmitted: false },
  ): void {
    clock.advance(REFUSAL_MS);
    tally.refused += 1;
    tally.longestRefusalMs = Math.max(tally.longestRefusalMs, clock.now() - sentAt);
    tally.shortestRetryMs = Math.min(tally.shortestRetryMs, retryAfterMs);
  }

  function step(request: SimulatedRequest): void {
    if (clock.now() - request.sentAt > DEADLINE_MS) return;
    clock.advance(STEP_MS);
    request.stepsLeft -= 1;
    request.readyAt = clock.now() + GAP_MS;
    if (request.stepsLeft > 0) inFlight.push(request);
    else if (clock.now() - request.sentAt <= OBJECTIVE_MS) tally.inTime += 1;
  }

  while (clock.now() < SECONDS * 1_000) {
    const arrived = takeArrived();
    const ready = inFlight.filter(({ readyAt }) => readyAt <= clock.now());
    inFlight = inFlight.filter(({ readyAt }) => readyAt > clock.now());
    for (const request of arrived) read(request);
    for (const request of ready) step(request);
    const ended = turnEnded;
    turnEnded = [];
    for (const callback of ended) callback();
    const nextAt = Math.min(nextArrivalAt, ...inFlight.map(({ readyAt }) => readyAt));
    const waitMs = Math.max(0, nextAt - clock.now());
    clock.advance(waitMs);
    idleMs += waitMs;
  }
  return tally;
}

describe('an event loop with more requests than it can serve', () => {
  const atCapacity = simulate(1, createTestAdmission).inTime;

  // without this, each request was worked on until its time was over, and hardly any was answered in time
  for (const load of [1, 2, 4, 8]) {
    it(`answers as many in time as at its capacity, but for the cost of refusals, at ${load} times that load`, () => {
      const { inTime, refused, longestRefusalMs } = simulate(load, createTestAdmission);
      const refusing = (refused * REFUSAL_MS) / (SECONDS * 1_000);
      expect(inTime).to.be.at.least(SHARE * atCapacity * (1 - refusing));
      expect(longestRefusalMs).to.be.at.most(MAX_REFUSAL_MS);
    });
  }

  it('would collapse if it took in all of them', () => {
    expect(simulate(2, () => admitAll).inTime).to.be.below(0.1 * atCapacity);
  });

  it('refuses nobody while it keeps up', () => {
    expect(simulate(0.8, createTestAdmission).refused).to.equal(0);
  });

  it('has callers come back no sooner than after an interval, and while they still wait', () => {
    const { shortestRetryMs } = simulate(4, createTestAdmission);
    expect(shortestRetryMs).to.be.at.least(OBJECTIVE_MS);
    expect(shortestRetryMs).to.be.at.most(DEADLINE_MS / 3);
  });
});
