import { expect } from 'chai';
import { unlimited } from '../../src/backpressure/index.js';
import { createSilentLog, type EventFields, type EventName } from '../../src/events/index.js';
import type { RegisteredServer } from '../../src/fleet/index.js';
import { createGatewayMetrics } from '../../src/metrics/index.js';
import { Ok } from 'ts-results-es';
import {
  allMechanisms,
  createJobSubmitter,
  createLatencyModels,
  createScheduler,
  resolveSchedulingGateway,
  type CachedPart,
  type Decision,
  type SchedulerMessage,
  type EnginePlacement,
  type Job,
  type SchedulingMechanisms,
  type Scheduler,
} from '../../src/scheduling/index.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

function engine(id: string, role: 'prefill' | 'decode', zone = 'a'): RegisteredServer {
  return {
    id,
    service: 'chat',
    address: '127.0.0.1:1',
    zone,
    slots: 16,
    isLeaving: false,
    role,
    warmUpMs: 0,
  };
}

let counter = 0;

function job(more: Partial<Job> = {}, second = 'bb', tokens = 6_000): Job {
  counter += 1;
  const id = `job-${counter}`;
  const parts = [
    { id: 'aa', tokens: 1_000 },
    { id: second, tokens: tokens - 2_000 },
    { id, tokens: 1_000 },
  ];
  return {
    id,
    service: 'chat',
    requestId: id,
    prompt: { model: 'm', parts, tokens, maxOutputTokens: 50 },
    rank: 0,
    elapsedMs: 0,
    aimLeftMs: 200,
    timeLeftMs: 2_000,
    isReturn: false,
    isRead: false,
    zone: 'a',
    excluded: [],
    paused: [],
    avoided: [],
    pauseMs: 200,
    ...more,
  };
}

const engines = [
  engine('r1', 'prefill'),
  engine('r2', 'prefill'),
  engine('g1', 'decode'),
  engine('g2', 'decode', 'b'),
];

/** Models of engines that prefill 300 tokens/ms, or 150 tokens/ms on decode engines, with a handoff of
 * 30 ms. */
function createTrainedModels() {
  const latencyModels = createLatencyModels();
  for (let index = 0; index < 100; index += 1) {
    const tokens = 1_000 * (1 + (index % 6));
    const work = { tokens, pairs: 0 };
    latencyModels.observePrefill('prefill', work, 4 + tokens / 300);
    latencyModels.observePrefill('decode', work, 8 + tokens / 150);
    latencyModels.transfer.observe(work, 30);
  }
  return latencyModels;
}

function setUp(
  fleet: readonly RegisteredServer[] = engines,
  mechanisms: Partial<SchedulingMechanisms> = {},
  latencyModels = createTrainedModels(),
  cached: Readonly<Record<string, readonly CachedPart[]>> = {},
) {
  const fake = createFakeClock();
  const metrics = createGatewayMetrics();
  const lines: { event: EventName; fields: EventFields }[] = [];
  const scheduler = createScheduler({
    clock: fake.clock,
    log: {
      write(event, fields = {}) {
        lines.push({ event, fields });
      },
    },
    metrics,
    mechanisms: { ...allMechanisms, ...mechanisms },
    latencyModels,
    engines: () => fleet,
    cacheTokens: () => 100_000,
    caches: { list: ({ id }) => Promise.resolve(Ok(cached[id] ?? [])) },
    limits: unlimited,
  });
  const decisions = new Map<string, Decision>();
  function submit(submitted: Job): Decision | undefined {
    scheduler.submit(submitted, (decision) => decisions.set(submitted.id, decision));
    return decisions.get(submitted.id);
  }
  /** Submits prompts without shared parts until one has to wait. */
  function submitUntilOneWaits(more: Partial<Job> = {}): Job[] {
    const submitted: Job[] = [];
    do {
      const next = job(more, `own-${submitted.length}`);
      submitted.push(next);
      submit(next);
    } while (decisions.has(submitted.at(-1)?.id ?? ''));
    return submitted;
  }
  return { ...fake, scheduler, submit, decisions, submitUntilOneWaits, lines };
}

function placementOf(decision: Decision | undefined) {
  return decision?.kind === 'placed' ? decision.placement : undefined;
}

/** Ends three requests in a row as unreachable; returns the last placement. */
function failThree(
  submit: (job: Job) => Decision | undefined,
  scheduler: Scheduler,
  create: () => Job,
): EnginePlacement | undefined {
  let placement: EnginePlacement | undefined;
  for (let index = 0; index < 3; index += 1) {
    const failed = create();
    placement = placementOf(submit(failed));
    scheduler.finished(failed.id, 'unreachable');
  }
  return placement;
}

const ONE_PREFILL_ENGINE = [engine('r1', 'prefill'), engine('g1', 'decode')];
/** Requests of one rank that an engine takes. */
const FULL = 16 * 1.5;
const ON_TIME_ONLY = { directReads: false, lateFirstAttempts: false };
const NO_LOCAL_PREFILL = { directReads: false };

describe('scheduler', () => {
  it('sends prompts with shared parts to the engine that has them cached', () => {
    const { submit, scheduler } = setUp(engines, NO_LOCAL_PREFILL);
    const prefillEngines = new Set<string | undefined>();
    for (let index = 0; index < 5; index += 1) {
      const submitted = job();
      prefillEngines.add(placementOf(submit(submitted))?.reader);
      scheduler.prefillCompleted(submitted.id);
      scheduler.firstTokenReceived(submitted.id);
    }
    expect([...prefillEngines]).to.deep.equal(['r1']);
  });

  it('expects a prefill to take as long as without cached parts, which engines may have evicted', async () => {
    const { submit, scheduler, advance } = setUp(ONE_PREFILL_ENGINE, NO_LOCAL_PREFILL);
    const first = job();
    const uncachedMs = placementOf(submit(first))?.expectedReadMs ?? 0;
    await advance(24);
    scheduler.prefillCompleted(first.id);
    scheduler.firstTokenReceived(first.id);
    const cachedMs = placementOf(submit(job()))?.expectedReadMs ?? 0;
    expect(cachedMs).to.be.closeTo(uncachedMs, 1);
  });

  it('spreads prompts without shared parts over engines', () => {
    const { submit } = setUp();
    const prefillEngines = [submit(job({}, 'x')), submit(job({}, 'y'))].map(placementOf);
    expect(new Set(prefillEngines.map((placement) => placement?.reader)).size).to.equal(2);
  });

  it('prefills on the decode engine if that is faster than a handoff', () => {
    const { submit } = setUp();
    const placement = placementOf(submit(job({}, 'bb', 500)));
    expect(placement?.reader).to.equal(undefined);
    expect(placement?.generator).to.equal('g1');
  });

  it('declines a request at once that cannot meet its objective', () => {
    const { submit } = setUp([engine('r1', 'prefill'), engine('g1', 'decode')], ON_TIME_ONLY);
    const decisions: (Decision | undefined)[] = [];
    for (let index = 0; index < 30; index += 1) {
      decisions.push(submit(job({}, `part-${index}`)));
    }
    const declined = decisions.filter((decision) => decision?.kind === 'declined');
    expect(declined).not.to.have.length(0);
    for (const decision of declined) {
      expect(decision).to.include({ kind: 'declined', reason: 'cannot-be-on-time' });
    }
  });

  it('starts requests that can meet their objective before late ones', () => {
    const { submit, submitUntilOneWaits, scheduler, decisions } = setUp(
      ONE_PREFILL_ENGINE,
      NO_LOCAL_PREFILL,
    );
    const [first] = submitUntilOneWaits();
    const late = job({ isReturn: true, aimLeftMs: 20 }, 'late');
    const punctual = job({}, 'punctual');
    submit(late);
    submit(punctual);
    expect(decisions.has(late.id)).to.equal(false);
    scheduler.prefillCompleted(first?.id ?? '');
    scheduler.prefillCompleted([...decisions.keys()].at(-1) ?? '');
    scheduler.prefillCompleted([...decisions.keys()].at(-1) ?? '');
    expect(decisions.has(punctual.id)).to.equal(true);
    expect(decisions.has(late.id)).to.equal(false);
  });

  it('declines a late request that waits much longer than estimated, before its deadline', async () => {
    const { submit, submitUntilOneWaits, decisions, advance } = setUp(
      ONE_PREFILL_ENGINE,
      NO_LOCAL_PREFILL,
    );
    submitUntilOneWaits();
    const late = job({ isReturn: true, aimLeftMs: 20, timeLeftMs: 1_000 }, 'late');
    submit(late);
    await advance(100);
    expect(decisions.has(late.id)).to.equal(false);
    await advance(500);
    expect(decisions.get(late.id)).to.include({ kind: 'declined', reason: 'cannot-be-on-time' });
  });

  it('prefills the prompt with the earliest deadline first', () => {
    const { submit, submitUntilOneWaits, scheduler, decisions } = setUp(
      ONE_PREFILL_ENGINE,
      NO_LOCAL_PREFILL,
    );
    const running = submitUntilOneWaits({ aimLeftMs: 3_000 });
    const later = job({ aimLeftMs: 2_000 }, 'patient');
    const urgent = job({ aimLeftMs: 300 }, 'pressing');
    submit(later);
    submit(urgent);
    scheduler.prefillCompleted(running[0]?.id ?? '');
    expect(decisions.has(urgent.id)).to.equal(true);
    expect(decisions.has(later.id)).to.equal(false);
  });

  it('declines a prompt that would make one of the same rank late', () => {
    const { submit, submitUntilOneWaits } = setUp(ONE_PREFILL_ENGINE, ON_TIME_ONLY);
    submitUntilOneWaits({ aimLeftMs: 150 });
    const first = job({ aimLeftMs: 150, rank: 1 }, 'first');
    submit(first);
    const urgent = job({ aimLeftMs: 149, rank: 1 }, 'pressing', 12_000);
    expect(submit(urgent)).to.include({ kind: 'declined' });
  });

  it('queues late first attempts if there will be spare capacity', () => {
    const { submit, submitUntilOneWaits, decisions } = setUp(ONE_PREFILL_ENGINE, NO_LOCAL_PREFILL);
    submitUntilOneWaits();
    const late = job({ aimLeftMs: 20, timeLeftMs: 5_000 }, 'late');
    submit(late);
    expect(decisions.has(late.id)).to.equal(false);
  });

  it('limits local prefills to keep the inter-token latency of running streams', () => {
    const { submit } = setUp([engine('g1', 'decode')]);
    submit(job({ isRead: true }));
    const short = submit(job({ pauseMs: 100 }, 'short', 5_000));
    const second = submit(job({ pauseMs: 100, aimLeftMs: 2_000 }, 'second', 5_000));
    expect([short?.kind, second?.kind]).to.deep.equal(['placed', 'declined']);
  });

  it('loads the cached parts of unknown engines', async () => {
    const parts = ['aa', 'bb'].map((id) => ({
      model: 'm',
      id,
      tokens: id === 'aa' ? 1_000 : 4_000,
    }));
    const latencyModels = createTrainedModels();
    const { submit, advance } = setUp(engines, NO_LOCAL_PREFILL, latencyModels, { r2: parts });
    submit(job({}, 'other'));
    await advance(1);
    expect(placementOf(submit(job()))?.reader).to.equal('r2');
  });

  it('declines late requests at once without spare capacity', async () => {
    const { submit, scheduler, advance } = setUp(ONE_PREFILL_ENGINE, NO_LOCAL_PREFILL);
    for (let index = 0; index < 300; index += 1) {
      const punctual = job({}, `on-time-${index}`);
      submit(punctual);
      await advance(20);
      scheduler.prefillCompleted(punctual.id);
      scheduler.firstTokenReceived(punctual.id);
      scheduler.finished(punctual.id, 'good');
    }
    submit(job({}, 'running'));
    submit(job({}, 'waiting'));
    const late = submit(job({ aimLeftMs: 20, timeLeftMs: 2_000 }, 'late'));
    expect(late).to.include({ kind: 'declined', reason: 'cannot-be-on-time' });
    expect(late?.kind === 'declined' && late.retryAfterMs).to.be.above(300);
  });

  it('logs the size of a declined request and the estimate that decided', () => {
    const { submit, lines } = setUp(ONE_PREFILL_ENGINE, ON_TIME_ONLY);
    const declined = job({ aimLeftMs: 20, rank: 2 });
    submit(declined);
    const line = lines.find(({ event }) => event === 'requestDeclined');
    expect(line?.fields).to.include({
      request: declined.id,
      rank: 2,
      tokens: 6_000,
      isReturn: false,
      reason: 'cannot-be-on-time',
      server: 'r1',
      prefillMs: 24,
      queueDelayMs: 0,
      lateBacklogMs: 0,
      spareCapacity: 1,
      objectiveLeftMs: 20,
      timeLeftMs: 2_000,
      delaysOthers: false,
      isSizeBehind: true,
    });
  });

  /** Shares of short and of long prompts that are placed while short ones alone ask for too much. */
  async function playShortAndLong(mechanisms: Partial<SchedulingMechanisms>) {
    const { scheduler, advance, clock, lines } = setUp(ONE_PREFILL_ENGINE, mechanisms);
    const placed = { short: 0, long: 0 };
    let freeAt = 0;
    function prefill(prompt: Job, size: 'short' | 'long'): void {
      scheduler.submit(prompt, ({ kind }) => {
        if (kind !== 'placed') return;
        placed[size] += 1;
        freeAt = Math.max(freeAt, clock.now()) + 4 + (prompt.prompt.tokens - 1_000) / 300;
        clock.after(freeAt - clock.now(), () => {
          scheduler.prefillCompleted(prompt.id);
          scheduler.firstTokenReceived(prompt.id);
          scheduler.finished(prompt.id, 'good');
        });
      });
    }
    for (let step = 0; step < 1_000; step += 1) {
      prefill(job({}, `short-${step}`, 3_000 + 100 * (step % 21)), 'short');
      if (step % 10 === 0) prefill(job({ timeLeftMs: 4_000 }, `long-${step}`, 60_000), 'long');
      await advance(12);
    }
    return { shortShare: placed.short / 1_000, longShare: placed.long / 100, lines };
  }

  it('keeps the turn of a long prompt whose size is behind while short ones keep coming', async () => {
    const { shortShare, longShare, lines } = await playShortAndLong(NO_LOCAL_PREFILL);
    const without = await playShortAndLong({ ...NO_LOCAL_PREFILL, sizeShares: false });
    expect(longShare).to.be.at.least(shortShare / 2);
    expect(without.longShare).to.be.below(without.shortShare / 2);
    const queued = lines.filter(({ event }) => event === 'requestQueued');
    expect(queued.some(({ fields }) => fields.isReserved === true)).to.equal(true);
  });

  it('declines at once what would get its first event after callers have left', () => {
    const { submit, scheduler } = setUp(ONE_PREFILL_ENGINE, NO_LOCAL_PREFILL);
    /** A request that waits behind another one, and whose deadline would allow it. */
    function submitLate(): [Job, Decision | undefined] {
      const late = job({ aimLeftMs: -200, timeLeftMs: 10_000, elapsedMs: 400 }, `late-${counter}`);
      return [late, submit(late)];
    }
    submit(job({}, 'running', 60_000));
    submit(job({}, 'waiting', 6_000));
    for (let index = 0; index < 4; index += 1) {
      const [late, decision] = submitLate();
      expect(decision).to.equal(undefined);
      scheduler.finished(late.id);
    }
    const [, decision] = submitLate();
    expect(decision).to.include({ kind: 'declined', reason: 'cannot-be-on-time' });
  });

  it('does not decline for callers that leave before the objective', () => {
    const { submit, scheduler } = setUp(ONE_PREFILL_ENGINE, NO_LOCAL_PREFILL);
    for (let index = 0; index < 10; index += 1) {
      const left = job({ elapsedMs: 100 });
      submit(left);
      scheduler.finished(left.id);
    }
    submit(job({}, 'running', 60_000));
    submit(job({}, 'waiting', 6_000));
    expect(submit(job({ aimLeftMs: 150 }, 'late'))).to.equal(undefined);
  });

  it('admits requests again after a period of many late ones', async () => {
    const { submit, scheduler, advance } = setUp(ONE_PREFILL_ENGINE, ON_TIME_ONLY);
    for (let index = 0; index < 80; index += 1) {
      const delayed = job({ aimLeftMs: 2_000 }, `delayed-${index}`);
      submit(delayed);
      await advance(24);
      scheduler.prefillCompleted(delayed.id);
      await advance(index % 2 === 0 ? 0 : 300);
      scheduler.firstTokenReceived(delayed.id);
      scheduler.finished(delayed.id, 'good');
    }
    expect(submit(job({ aimLeftMs: 300 }, 'next'))).to.include({ kind: 'placed' });
  });

  it('gives each engine one prefill at a time without latency samples', () => {
    const { submit, scheduler, decisions } = setUp(engines, {}, createLatencyModels());
    const jobs = ['a', 'b', 'c'].map((part) => job({}, part));
    const prefillEngines = jobs.map((submitted) => placementOf(submit(submitted))?.reader);
    expect(prefillEngines).to.deep.equal(['r1', 'r2', undefined]);
    scheduler.prefillCompleted(jobs[0]?.id ?? '');
    expect(placementOf(decisions.get(jobs[2]?.id ?? ''))?.reader).to.equal('r1');
  });

  it('estimates prefill times after a single prefill', async () => {
    const { submit, scheduler, advance } = setUp(
      ONE_PREFILL_ENGINE,
      ON_TIME_ONLY,
      createLatencyModels(),
    );
    const first = job({ aimLeftMs: 600 }, 'a');
    submit(first);
    await advance(100);
    scheduler.prefillCompleted(first.id);
    scheduler.firstTokenReceived(first.id);
    const outcomes = [1, 2, 3, 4, 5, 6].map(
      (index) => submit(job({ aimLeftMs: 350 }, `next-${index}`))?.kind,
    );
    expect(outcomes.filter((kind) => kind !== 'declined')).to.have.length(4);
  });

  it('avoids an engine that is reported as unreachable', () => {
    const { submit, scheduler } = setUp();
    const failed = failThree(submit, scheduler, () => job({}, 'x'))?.reader;
    const prefillEngines = new Set<string | undefined>();
    for (let index = 0; index < 4; index += 1) {
      const submitted = job({}, 'x');
      prefillEngines.add(placementOf(submit(submitted))?.reader);
      scheduler.prefillCompleted(submitted.id);
    }
    expect(prefillEngines).not.to.include(failed);
  });

  it('gives an avoided engine one request as a trial', async () => {
    const { submit, scheduler, advance } = setUp();
    expect(failThree(submit, scheduler, () => job({ isRead: true }))?.generator).to.equal('g1');
    await advance(600);
    const taken = [1, 2, 3].map(() => placementOf(submit(job({ isRead: true })))?.generator);
    expect(taken.filter((id) => id === 'g1')).to.have.length(1);
  });

  it('avoids a decode engine that sends no first event', async () => {
    const { submit, advance } = setUp();
    expect(placementOf(submit(job({ isRead: true })))?.generator).to.equal('g1');
    await advance(450);
    const next = [1, 2, 3].map(() => placementOf(submit(job({ isRead: true })))?.generator);
    expect(new Set(next)).to.deep.equal(new Set(['g2']));
  });

  it('places an urgent request on an engine that is full of less urgent ones', () => {
    const { submit } = setUp([engine('r1', 'prefill'), engine('g1', 'decode')]);
    const full = 16 * 1.5;
    for (let index = 0; index < full; index += 1) {
      expect(submit(job({ rank: 1, isRead: true }))?.kind).to.equal('placed');
    }
    expect(submit(job({ rank: 1, isRead: true }))?.kind).to.equal('declined');
    expect(submit(job({ rank: 0, isRead: true }))?.kind).to.equal('placed');
  });

  it('limits the requests on an engine regardless of rank', () => {
    const { submit } = setUp([engine('r1', 'prefill'), engine('g1', 'decode')]);
    const placed = Array.from({ length: 80 }, (_, index) =>
      submit(job({ rank: index % 4, isRead: true })),
    );
    expect(placed.filter((decision) => decision?.kind === 'placed').length).to.be.at.most(48);
  });

  it('uses unhealthy engines if there are no others', () => {
    const { submit, scheduler } = setUp([engine('r1', 'prefill'), engine('g1', 'decode')]);
    failThree(submit, scheduler, () => job({ isRead: true }));
    expect(placementOf(submit(job({ isRead: true })))?.generator).to.equal('g1');
  });

  it('starts all waiting requests when all engines are unhealthy, without a loop', () => {
    const fleet = [engine('r1', 'prefill'), engine('r2', 'prefill'), engine('g1', 'decode')];
    const { submit, scheduler, decisions } = setUp(fleet, NO_LOCAL_PREFILL);
    const jobs: Job[] = [];
    for (let index = 0; index < 28; index += 1) {
      const submitted = job({ aimLeftMs: 5_000, timeLeftMs: 9_000 }, `part-${index}`, 3_000);
      jobs.push(submitted);
      submit(submitted);
    }
    expect(decisions.size).to.be.below(jobs.length);
    const ended = new Set<string>();
    for (const id of decisions.keys()) {
      ended.add(id);
      scheduler.finished(id, 'unreachable');
    }
    expect(ended.size).to.equal(jobs.length);
    expect(scheduler.size()).to.equal(0);
  });

  it('increases the estimate for an engine that is overdue', async () => {
    const { submit, advance } = setUp(ONE_PREFILL_ENGINE, ON_TIME_ONLY);
    submit(job({}, 'x'));
    await advance(200);
    expect(submit(job({}, 'y'))).to.include({ kind: 'declined', reason: 'cannot-be-on-time' });
  });

  it('reroutes requests that wait for an engine that was removed', () => {
    const fleet = [...ONE_PREFILL_ENGINE];
    const { submitUntilOneWaits, scheduler, decisions } = setUp(fleet, NO_LOCAL_PREFILL);
    const jobs = submitUntilOneWaits();
    const waiting = jobs.at(-1)?.id ?? '';
    fleet.splice(0, 1, engine('r2', 'prefill'));
    scheduler.finished(jobs[0]?.id ?? '');
    expect(placementOf(decisions.get(waiting))?.reader).to.equal('r2');
  });

  it('removes a request that ended while it waited', () => {
    const { submitUntilOneWaits, scheduler, decisions } = setUp(
      ONE_PREFILL_ENGINE,
      NO_LOCAL_PREFILL,
    );
    const jobs = submitUntilOneWaits();
    const waiting = jobs.at(-1);
    scheduler.finished(waiting?.id ?? '');
    for (const { id } of jobs) {
      scheduler.finished(id);
    }
    expect(decisions.has(waiting?.id ?? '')).to.equal(false);
    expect(scheduler.size()).to.equal(0);
  });

  describe('with engines of two software versions', () => {
    const v1 = { version: 'v1' };
    const v2 = { version: 'v2' };
    const versioned = [
      { ...engine('r1', 'prefill'), ...v1 },
      { ...engine('r2', 'prefill'), ...v2 },
      { ...engine('g1', 'decode'), ...v1 },
      { ...engine('g2', 'decode'), ...v2 },
    ];

    it('prefills and decodes a stream that has begun at its own version', () => {
      const { submit, scheduler } = setUp(versioned, NO_LOCAL_PREFILL);
      for (let index = 0; index < 4; index += 1) {
        const continued = job({ version: 'v2' }, `own-${index}`);
        expect(placementOf(submit(continued))).to.include({ reader: 'r2', generator: 'g2' });
        scheduler.prefillCompleted(continued.id);
        scheduler.firstTokenReceived(continued.id);
      }
    });

    it('prefills it on the decode engine if no other engine of the version prefills', () => {
      const { submit } = setUp(versioned.filter(({ id }) => id !== 'r2'));
      const placement = placementOf(submit(job({ version: 'v2' })));
      expect(placement).to.include({ generator: 'g2' });
      expect(placement).not.to.have.property('reader');
    });

    /** Fills the decode engine of v2. */
    function fillVersion(submit: (job: Job) => Decision | undefined, more: Partial<Job>): Job[] {
      const running = Array.from({ length: FULL }, () =>
        job({ isRead: true, excluded: ['g1'], ...more }),
      );
      for (const one of running) expect(submit(one)?.kind).to.equal('placed');
      return running;
    }

    it('places it on an engine that is full of new ones of its rank', () => {
      const { submit } = setUp(versioned);
      fillVersion(submit, { rank: 1 });
      const next = { rank: 1, isRead: true, excluded: ['g1'] };
      expect(submit(job(next))?.kind).to.equal('declined');
      expect(placementOf(submit(job({ ...next, version: 'v2' })))?.generator).to.equal('g2');
    });

    it('lets it wait for a place, which it gets before a request that comes later', () => {
      const { submit, scheduler, decisions } = setUp(versioned);
      const [ends] = fillVersion(submit, { rank: 0 });
      const continued = job({ rank: 1, version: 'v2', timeLeftMs: 10_000 }, 'own', 200);
      expect(submit(continued)).to.equal(undefined);
      scheduler.finished(ends?.id ?? '', 'good');
      expect(placementOf(decisions.get(continued.id))?.generator).to.equal('g2');
      expect(submit(job({ isRead: true, excluded: ['g1'] }))?.kind).to.equal('declined');
    });

    it('declines it while it waits for a place once it can no longer meet its deadline', async () => {
      const { submit, decisions, advance } = setUp(versioned);
      fillVersion(submit, { rank: 0 });
      const continued = job({ rank: 1, version: 'v2', timeLeftMs: 1_000 }, 'own', 200);
      submit(continued);
      await advance(800);
      expect(decisions.has(continued.id)).to.equal(false);
      await advance(200);
      expect(decisions.get(continued.id)).to.include({ kind: 'declined', reason: 'no-engine' });
    });

    it('forgets one that waits for a place once its caller has left', () => {
      const { submit, scheduler, decisions } = setUp(versioned);
      const [ends] = fillVersion(submit, { rank: 0 });
      const continued = job({ rank: 1, version: 'v2', timeLeftMs: 10_000 }, 'own', 200);
      submit(continued);
      scheduler.finished(continued.id);
      scheduler.finished(ends?.id ?? '', 'good');
      expect(decisions.has(continued.id)).to.equal(false);
      expect(scheduler.size()).to.equal(FULL - 1);
    });

    it('says of a declined one which engines of its version said no, and why', () => {
      const { submit, lines } = setUp(versioned.filter(({ id }) => id !== 'g2'));
      submit(job({ version: 'v2' }));
      const declined = lines.find(({ event }) => event === 'requestDeclined');
      expect(declined?.fields).to.deep.include({
        version: 'v2',
        engines: 3,
        ofVersion: 1,
        prefill: { free: 1 },
        decode: {},
      });
    });

    it('declines it at once if no engine of the version decodes', () => {
      const { submit } = setUp(versioned.filter(({ id }) => id !== 'g2'));
      expect(submit(job({ version: 'v2' }))).to.include({ kind: 'declined', reason: 'no-engine' });
      expect(submit(job())).to.include({ kind: 'placed' });
    });
  });

  it('declines without a decode engine', () => {
    const { submit } = setUp([engine('r1', 'prefill')]);
    expect(submit(job())).to.include({ kind: 'declined', reason: 'no-engine' });
  });
});

describe('scheduling gateway', () => {
  it('does not depend on the order of the gateways and prefers more cores', () => {
    const gateways = ['a', 'b', 'c'].map((node) => ({ node, cores: 1 }));
    const chosen = resolveSchedulingGateway('chat', gateways);
    expect(resolveSchedulingGateway('chat', [...gateways].reverse())).to.equal(chosen);
    expect(resolveSchedulingGateway('chat', [...gateways, { node: 'd', cores: 2 }])).to.equal('d');
  });
});

describe('job submitter', () => {
  function setUpSubmitter(isLinked = true) {
    const fake = createFakeClock();
    const sent: SchedulerMessage[] = [];
    const local: string[] = [];
    const scheduler: Scheduler = {
      submit(submitted, decided) {
        local.push(submitted.id);
        decided({ kind: 'placed', placement: { generator: 'g1' } });
      },
      adopt: (adopted) => local.push(`adopted ${adopted.id}`),
      prefillCompleted: () => undefined,
      firstTokenReceived: () => undefined,
      finished: () => undefined,
      forget: () => undefined,
      size: () => 0,
      peakDecodeLoad: () => undefined,
    };
    const submitter = createJobSubmitter({
      clock: fake.clock,
      log: createSilentLog(),
      node: 'self',
      zone: 'a',
      schedulerOf: (_service, isAvoided) =>
        ['peer', 'second', 'self'].find((node) => !isAvoided(node)) ?? 'self',
      local: () => scheduler,
      send(_node, message) {
        if (isLinked) sent.push(message);
        return isLinked;
      },
    });
    return { ...fake, submitter, sent, local };
  }

  it('places a request locally when schedulers do not acknowledge it', async () => {
    const { submitter, local, advance } = setUpSubmitter();
    const decisions: Decision[] = [];
    submitter.submit(job(), (decision) => decisions.push(decision));
    await advance(30);
    expect(local).to.have.length(0);
    await advance(60);
    expect(decisions).to.have.length(1);
  });

  it('fails over all requests of a scheduler that does not acknowledge one', async () => {
    const { submitter, sent, advance } = setUpSubmitter();
    submitter.submit(job(), () => undefined);
    const placed = sent[0]?.kind === 'job.submit' ? sent[0].job.id : '';
    submitter.answerReceived('peer', {
      kind: 'job.placed',
      id: placed,
      placement: { generator: 'g1' },
    });
    submitter.submit(job(), () => undefined);
    const waiting = sent[1]?.kind === 'job.submit' ? sent[1].job.id : '';
    submitter.answerReceived('peer', { kind: 'job.queued', id: waiting });
    submitter.submit(job(), () => undefined);
    sent.splice(0);
    await advance(41);
    const kinds = sent.map(({ kind }) => kind).filter((kind) => kind !== 'job.finished');
    expect(kinds).to.deep.equal(['job.adopt', 'job.submit', 'job.submit']);
  });

  it('waits for a scheduler that acknowledged the request', async () => {
    const { submitter, sent, local, advance } = setUpSubmitter();
    submitter.submit(job(), () => undefined);
    const submitted = sent[0]?.kind === 'job.submit' ? sent[0].job.id : '';
    submitter.answerReceived('peer', { kind: 'job.queued', id: submitted });
    await advance(500);
    expect(local).to.have.length(0);
    submitter.peerLost('peer');
    expect(sent.filter(({ kind }) => kind === 'job.submit')).to.have.length(2);
  });

  it('places a request locally without a link', () => {
    const { submitter, local } = setUpSubmitter(false);
    submitter.submit(job(), () => undefined);
    expect(local).to.have.length(1);
  });
});
