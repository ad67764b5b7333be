import { expect } from 'chai';
import { Ok } from 'ts-results-es';
import { unlimited } from '../../src/backpressure/index.js';
import { createSilentLog } from '../../src/events/index.js';
import type { EngineRole, RegisteredServer } from '../../src/fleet/index.js';
import { createGatewayMetrics } from '../../src/metrics/index.js';
import {
  allMechanisms,
  createLatencyModels,
  createScheduler,
  type Decision,
  type Job,
} from '../../src/scheduling/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';
import { createSlottedEngine, type SlottedEngine } from '../fixtures/slotted-engine.js';

const SLOTS = 16;
/** Duration of the prefill of any prompt, and of a transfer, in ms. */
const PREFILL_MS = 10;
/** Attempts that a caller makes. */
const MAX_ATTEMPTS = 4;
/** Time without an event after which callers leave, in ms. */
const PATIENCE_MS = 2_000;
/** Ticks of 10 ms until streams are taken up. */
const TAKEN_UP_AT = 100;
/** How far the share of the streams taken up that go on may lie below that of the new ones that begin. */
const MAX_GAP = 0.1;

interface Kind {
  rank: number;
  runMs: number;
  aimMs: number;
  timeoutMs: number;
  tokens: number;
}

const SHORT: Kind = { rank: 0, runMs: 100, aimMs: 150, timeoutMs: 2_000, tokens: 3_000 };
const LONG: Kind = { rank: 1, runMs: 4_000, aimMs: 100, timeoutMs: 15_000, tokens: 200 };

function engine(id: string, role: EngineRole, version: string): RegisteredServer {
  return {
    id,
    service: 'chat',
    address: '127.0.0.1:1',
    zone: 'a',
    slots: SLOTS,
    isLeaving: false,
    role,
    version,
    warmUpMs: 0,
  };
}

const engines = [
  engine('g1', 'decode', 'v1'),
  ...['r1', 'r2', 'r3', 'r4'].map((id) => engine(id, 'prefill', 'v1')),
  ...['g2', 'g3', 'g4'].map((id) => engine(id, 'decode', 'v2')),
  ...['r5', 'r6'].map((id) => engine(id, 'prefill', 'v2')),
];

function createTrainedModels() {
  const models = createLatencyModels();
  for (let index = 0; index < 100; index += 1) {
    const work = { tokens: 100 * (1 + (index % 30)), pairs: 0 };
    models.observePrefill('prefill', work, PREFILL_MS);
    models.observePrefill('decode', work, 2 * PREFILL_MS);
    models.transfer.observe(work, PREFILL_MS);
  }
  return models;
}

interface Tally {
  asked: number;
  begun: number;
}

/** Callers in virtual time before a scheduler that has just started. */
function startCallers() {
  const { clock, advance } = createFakeClock();
  const scheduler = createScheduler({
    clock,
    log: createSilentLog(),
    metrics: createGatewayMetrics(),
    mechanisms: allMechanisms,
    latencyModels: createTrainedModels(),
    engines: () => engines,
    cacheTokens: () => 300_000,
    caches: { list: () => Promise.resolve(Ok([])) },
    limits: unlimited,
  });
  const generating = new Map<string, SlottedEngine>(
    engines.map(({ id }) => [id, createSlottedEngine(clock, SLOTS)]),
  );
  const freeAt = new Map<string, number>();
  let counter = 0;

  function createJob(kind: Kind, version: string | undefined, isReturn: boolean): Job {
    counter += 1;
    const id = `job-${counter}`;
    return {
      id,
      service: 'chat',
      requestId: id,
      prompt: {
        model: 'm',
        parts: [{ id, tokens: kind.tokens }],
        tokens: kind.tokens,
        maxOutputTokens: 50,
      },
      rank: kind.rank,
      elapsedMs: 0,
      aimLeftMs: kind.aimMs,
      timeLeftMs: kind.timeoutMs,
      isReturn,
      isRead: false,
      version,
      zone: 'a',
      excluded: [],
      paused: [],
      avoided: [],
      pauseMs: 150,
    };
  }

  /** Time until an engine has finished a prefill that it is given now. */
  function resolvePrefillMs(id: string): number {
    const endsAt = Math.max(clock.now(), freeAt.get(id) ?? 0) + PREFILL_MS;
    freeAt.set(id, endsAt);
    return endsAt - clock.now();
  }

  /** A caller asks, and again after a refusal. */
  function ask(tally: Tally, kind: Kind, version?: string, attempt = 1): void {
    tally.asked += 1;
    const job = createJob(kind, version, version !== undefined || attempt > 1);
    let hasBegun = false;
    let hasLeft = false;
    let abort: () => void = () => undefined;
    const leave = clock.after(Math.min(PATIENCE_MS, kind.timeoutMs), () => {
      if (hasBegun) return;
      hasLeft = true;
      abort();
      scheduler.finished(job.id);
    });

    function generate(id: string): void {
      if (hasLeft) return;
      const urgency = version === undefined ? kind.rank : 0;
      abort =
        generating.get(id)?.run({
          urgency,
          runMs: kind.runMs,
          began() {
            hasBegun = true;
            tally.begun += 1;
            scheduler.firstTokenReceived(job.id);
          },
          ended() {
            scheduler.finished(job.id, 'good');
          },
        }) ?? abort;
    }

    scheduler.submit(job, (decision: Decision) => {
      if (decision.kind === 'declined') {
        leave.cancel();
        if (attempt >= MAX_ATTEMPTS) return;
        clock.after(decision.retryAfterMs, () => {
          ask(tally, kind, version, attempt + 1);
        });
        return;
      }
      const { reader, generator } = decision.placement;
      if (reader === undefined) {
        clock.after(2 * PREFILL_MS, () => {
          generate(generator);
        });
        return;
      }
      clock.after(resolvePrefillMs(reader), () => {
        if (!hasLeft) scheduler.prefillCompleted(job.id);
        clock.after(PREFILL_MS, () => {
          generate(generator);
        });
      });
    });
  }

  return { clock, advance, ask };
}

function shareOf({ asked, begun }: Tally): number {
  return begun / asked;
}

describe('streams that callers take up again after all gateways were lost', () => {
  for (const [v1, v2] of [
    [14, 40],
    [4, 50],
    [24, 10],
  ] as const) {
    it(`go on about as often as new ones begin, ${v1} and ${v2} at two versions`, async function () {
      this.timeout(60_000);
      const { advance, ask } = startCallers();
      const begun: Tally = { asked: 0, begun: 0 };
      const continued: Tally = { asked: 0, begun: 0 };
      for (let tick = 0; tick < 400; tick += 1) {
        // callers that waited for the gateways come first, before those whose streams broke off
        if (tick % (tick < TAKEN_UP_AT ? 2 : 6) === 0) ask(begun, LONG);
        for (const kind of [SHORT, SHORT]) ask(begun, kind);
        if (tick === TAKEN_UP_AT) {
          for (let index = 0; index < v1; index += 1) ask(continued, LONG, 'v1');
          for (let index = 0; index < v2; index += 1) ask(continued, LONG, 'v2');
        }
        await advance(10);
      }
      const seen = `${continued.begun} of ${continued.asked} went on, ${begun.begun} of ${begun.asked} began`;
      expect(shareOf(continued), seen).to.be.at.least(shareOf(begun) - MAX_GAP);
    });
  }
});
