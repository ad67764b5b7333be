import { expect } from 'chai';
import { createSilentLog } from '../../src/events/index.js';
import type { RegisteredServer } from '../../src/fleet/index.js';
import {
  createJobSubmitter,
  createScheduler,
  resolveHolder,
  schedulingTerms,
  type Decision,
  type SchedulerMessage,
  type EnginePlacement,
  type Job,
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
    aimLeftMs: 200,
    timeLeftMs: 2_000,
    isReturn: false,
    isRead: false,
    zone: 'a',
    excluded: [],
    ...more,
  };
}

const engines = [
  engine('r1', 'prefill'),
  engine('r2', 'prefill'),
  engine('g1', 'decode'),
  engine('g2', 'decode', 'b'),
];

function setUp(fleet: readonly RegisteredServer[] = engines) {
  const fake = createFakeClock();
  const scheduler = createScheduler({
    clock: fake.clock,
    log: createSilentLog(),
    terms: schedulingTerms,
    engines: () => fleet,
    cacheTokens: () => 100_000,
  });
  const decisions = new Map<string, Decision>();
  function submit(submitted: Job): Decision | undefined {
    scheduler.submit(submitted, (decision) => decisions.set(submitted.id, decision));
    return decisions.get(submitted.id);
  }
  return { ...fake, scheduler, submit, decisions };
}

function placementOf(decision: Decision | undefined) {
  return decision?.kind === 'placed' ? decision.placement : undefined;
}

/** Has three requests in a row end because their engine could not be reached; gives the placement. */
function loseThree(
  submit: (job: Job) => Decision | undefined,
  scheduler: Scheduler,
  create: () => Job,
): EnginePlacement | undefined {
  let placement: EnginePlacement | undefined;
  for (let index = 0; index < 3; index += 1) {
    const lost = create();
    placement = placementOf(submit(lost));
    scheduler.finished(lost.id, 'unreachable');
  }
  return placement;
}

describe('the scheduler of a service', () => {
  it('sends prompts with the same shared parts to the engine that has them', () => {
    const { submit, scheduler } = setUp();
    const readers = new Set<string | undefined>();
    for (let index = 0; index < 5; index += 1) {
      const submitted = job();
      readers.add(placementOf(submit(submitted))?.reader);
      scheduler.promptRead(submitted.id);
    }
    expect(readers.size).to.equal(1);
  });

  it('spreads prompts without shared parts over the engines', () => {
    const { submit } = setUp();
    const readers = [submit(job({}, 'x')), submit(job({}, 'y'))].map(placementOf);
    expect(new Set(readers.map((placement) => placement?.reader)).size).to.equal(2);
  });

  it('leaves short prompts to the engine that generates', () => {
    const { submit } = setUp();
    const placement = placementOf(submit(job({}, 'bb', 500)));
    expect(placement?.reader).to.equal(undefined);
    expect(placement?.generator).to.equal('g1');
  });

  it('turns a request away at once when it cannot be on time', () => {
    const { submit } = setUp([engine('r1', 'prefill'), engine('g1', 'decode')]);
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

  it('lets what can be on time go before what will be late', () => {
    const { submit, scheduler, decisions } = setUp([
      engine('r1', 'prefill'),
      engine('g1', 'decode'),
    ]);
    const first: Job[] = [];
    for (let index = 0; index < schedulingTerms.readsInFlight; index += 1) {
      const submitted = job({}, `part-${index}`);
      first.push(submitted);
      submit(submitted);
    }
    const late = job({ isReturn: true, aimLeftMs: 20 }, 'late');
    const punctual = job({}, 'punctual');
    submit(late);
    submit(punctual);
    expect(decisions.has(late.id)).to.equal(false);
    scheduler.promptRead(first[0]?.id ?? '');
    expect(decisions.has(punctual.id)).to.equal(true);
    expect(decisions.has(late.id)).to.equal(false);
  });

  it('gives up on a late request that could not be read in time behind others', async () => {
    const { submit, decisions, advance } = setUp([engine('r1', 'prefill'), engine('g1', 'decode')]);
    for (let index = 0; index < schedulingTerms.readsInFlight; index += 1) {
      submit(job({}, `part-${index}`));
    }
    const late = job({ isReturn: true, aimLeftMs: 20, timeLeftMs: 1_000 }, 'late');
    submit(late);
    await advance(700);
    expect(decisions.has(late.id)).to.equal(false);
    await advance(150);
    expect(decisions.get(late.id)).to.include({ kind: 'declined', reason: 'cannot-be-on-time' });
  });

  it('leaves an engine alone that cannot be reached, whichever gateway says so', () => {
    const { submit, scheduler } = setUp();
    const reader = loseThree(submit, scheduler, () => job({}, 'x'))?.reader;
    const readers = new Set<string | undefined>();
    for (let index = 0; index < 4; index += 1) {
      const submitted = job({}, 'x');
      readers.add(placementOf(submit(submitted))?.reader);
      scheduler.promptRead(submitted.id);
    }
    expect(readers).not.to.include(reader);
  });

  it('gives an engine that was left alone one request until it works again', async () => {
    const { submit, scheduler, advance } = setUp();
    expect(loseThree(submit, scheduler, () => job({}, 'bb', 500))?.generator).to.equal('g1');
    await advance(600);
    const taken = [1, 2, 3].map(() => placementOf(submit(job({}, 'bb', 500)))?.generator);
    expect(taken.filter((id) => id === 'g1')).to.have.length(1);
  });

  it('leaves an engine alone from which no generation begins', async () => {
    const { submit, advance } = setUp();
    expect(placementOf(submit(job({}, 'bb', 500)))?.generator).to.equal('g1');
    await advance(450);
    const next = [1, 2, 3].map(() => placementOf(submit(job({}, 'bb', 500)))?.generator);
    expect(new Set(next)).to.deep.equal(new Set(['g2']));
  });

  it('places an urgent request at an engine that is full of less urgent ones', () => {
    const { submit } = setUp([engine('r1', 'prefill'), engine('g1', 'decode')]);
    const full = 16 * 1.5;
    for (let index = 0; index < full; index += 1) {
      expect(submit(job({ rank: 1 }, 'bb', 500))?.kind).to.equal('placed');
    }
    expect(submit(job({ rank: 1 }, 'bb', 500))?.kind).to.equal('declined');
    expect(submit(job({ rank: 0 }, 'bb', 500))?.kind).to.equal('placed');
  });

  it('gives an engine no more than it can hold, whatever the rank', () => {
    const { submit } = setUp([engine('r1', 'prefill'), engine('g1', 'decode')]);
    const placed = Array.from({ length: 80 }, (_, index) =>
      submit(job({ rank: index % 4 }, 'bb', 500)),
    );
    expect(placed.filter((decision) => decision?.kind === 'placed').length).to.be.at.most(48);
  });

  it('uses engines that seem unsound where there are no others', () => {
    const { submit, scheduler } = setUp([engine('r1', 'prefill'), engine('g1', 'decode')]);
    loseThree(submit, scheduler, () => job({}, 'bb', 500));
    expect(placementOf(submit(job({}, 'bb', 500)))?.generator).to.equal('g1');
  });

  it('starts what waits at engines that all seem unsound, without end', () => {
    const fleet = [engine('r1', 'prefill'), engine('r2', 'prefill'), engine('g1', 'decode')];
    const { submit, scheduler, decisions } = setUp(fleet);
    const jobs: Job[] = [];
    for (let index = 0; index < 2 * schedulingTerms.readsInFlight + 20; index += 1) {
      const submitted = job({ aimLeftMs: 5_000, timeLeftMs: 9_000 }, `part-${index}`, 3_000);
      jobs.push(submitted);
      submit(submitted);
    }
    expect(decisions.size).to.equal(2 * schedulingTerms.readsInFlight);
    const ended = new Set<string>();
    for (const id of decisions.keys()) {
      ended.add(id);
      scheduler.finished(id, 'unreachable');
    }
    expect(ended.size).to.equal(jobs.length);
    expect(scheduler.size()).to.equal(0);
  });

  it('expects an engine to take longer the longer it is silent', async () => {
    const { submit, advance } = setUp([engine('r1', 'prefill'), engine('g1', 'decode')]);
    submit(job({}, 'x'));
    await advance(200);
    expect(submit(job({}, 'y'))).to.include({ kind: 'declined', reason: 'cannot-be-on-time' });
  });

  it('finds another engine for what waits at one that has left', () => {
    const fleet = [engine('r1', 'prefill'), engine('g1', 'decode')];
    const { submit, scheduler, decisions } = setUp(fleet);
    const jobs: Job[] = [];
    for (let index = 0; index <= schedulingTerms.readsInFlight; index += 1) {
      const submitted = job({}, `part-${index}`);
      jobs.push(submitted);
      submit(submitted);
    }
    const waiting = jobs.at(-1)?.id ?? '';
    fleet.splice(0, 1, engine('r2', 'prefill'));
    scheduler.finished(jobs[0]?.id ?? '');
    expect(placementOf(decisions.get(waiting))?.reader).to.equal('r2');
  });

  it('forgets a request that ended while it waited', () => {
    const { submit, scheduler, decisions } = setUp([
      engine('r1', 'prefill'),
      engine('g1', 'decode'),
    ]);
    const jobs: Job[] = [];
    for (let index = 0; index <= schedulingTerms.readsInFlight; index += 1) {
      const submitted = job({}, `part-${index}`);
      jobs.push(submitted);
      submit(submitted);
    }
    const waiting = jobs.at(-1);
    scheduler.finished(waiting?.id ?? '');
    for (const { id } of jobs) {
      scheduler.finished(id);
    }
    expect(decisions.has(waiting?.id ?? '')).to.equal(false);
    expect(scheduler.size()).to.equal(0);
  });

  it('refuses where no engine generates', () => {
    const { submit } = setUp([engine('r1', 'prefill')]);
    expect(submit(job())).to.include({ kind: 'declined', reason: 'no-engine' });
  });
});

describe('the choice of the scheduling gateway', () => {
  it('is the same in every order of the gateways, and goes to the strongest', () => {
    const gateways = ['a', 'b', 'c'].map((node) => ({ node, cores: 1 }));
    const chosen = resolveHolder('chat', gateways);
    expect(resolveHolder('chat', [...gateways].reverse())).to.equal(chosen);
    expect(resolveHolder('chat', [...gateways, { node: 'd', cores: 2 }])).to.equal('d');
  });
});

describe('the submitter of jobs', () => {
  function setUpSubmitter(isLinked = true) {
    const fake = createFakeClock();
    const sent: SchedulerMessage[] = [];
    const local: string[] = [];
    const scheduler: Scheduler = {
      submit(submitted, decided) {
        local.push(submitted.id);
        decided({ kind: 'placed', placement: { generator: 'g1', expectedReadMs: 0 } });
      },
      adopt: (adopted) => local.push(`adopted ${adopted.id}`),
      promptRead: () => undefined,
      begun: () => undefined,
      finished: () => undefined,
      forget: () => undefined,
      size: () => 0,
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

  it('places a request itself when schedulers are silent', async () => {
    const { submitter, local, advance } = setUpSubmitter();
    const decisions: Decision[] = [];
    submitter.submit(job(), (decision) => decisions.push(decision));
    await advance(30);
    expect(local).to.have.length(0);
    await advance(60);
    expect(decisions).to.have.length(1);
  });

  it('moves all requests to the next scheduler once one is silent', async () => {
    const { submitter, sent, advance } = setUpSubmitter();
    submitter.submit(job(), () => undefined);
    const placed = sent[0]?.kind === 'job.submit' ? sent[0].job.id : '';
    submitter.answered('peer', {
      kind: 'job.placed',
      id: placed,
      placement: { generator: 'g1', expectedReadMs: 0 },
    });
    submitter.submit(job(), () => undefined);
    const waiting = sent[1]?.kind === 'job.submit' ? sent[1].job.id : '';
    submitter.answered('peer', { kind: 'job.queued', id: waiting });
    submitter.submit(job(), () => undefined);
    sent.splice(0);
    await advance(41);
    const kinds = sent.map(({ kind }) => kind).filter((kind) => kind !== 'job.finished');
    expect(kinds).to.deep.equal(['job.adopt', 'job.submit', 'job.submit']);
  });

  it('waits for a scheduler that has said it has the request', async () => {
    const { submitter, sent, local, advance } = setUpSubmitter();
    submitter.submit(job(), () => undefined);
    const submitted = sent[0]?.kind === 'job.submit' ? sent[0].job.id : '';
    submitter.answered('peer', { kind: 'job.queued', id: submitted });
    await advance(500);
    expect(local).to.have.length(0);
    submitter.lost('peer');
    expect(sent.filter(({ kind }) => kind === 'job.submit')).to.have.length(2);
  });

  it('places a request itself when there is no link', () => {
    const { submitter, local } = setUpSubmitter(false);
    submitter.submit(job(), () => undefined);
    expect(local).to.have.length(1);
  });
});
