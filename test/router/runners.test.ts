import { expect } from 'chai';
import { Err, Ok, type Result } from 'ts-results-es';
import { createUnknownOutcome, createRefusal, type Failure } from '../../src/errors/index.js';
import { createSilentLog } from '../../src/events/index.js';
import { createMetrics } from '../../src/metrics/index.js';
import type { EngineChunk, EngineRequest, ServiceAnswer } from '../../src/ports/index.js';
import {
  createBackends,
  createCompletionRunner,
  createRetries,
  createRetryBudget,
  createServiceCallRunner,
  createServerAvailability,
  createDirectPlacement,
  createPlacesInUse,
  type CompletionJob,
  type Placement,
  type PlacementRequest,
  type ServiceJob,
} from '../../src/router/index.js';
import { createOutputEstimate } from '../../src/permits/index.js';
import { createSeededRandom } from '../../src/task/index.js';
import { createObject, createVm } from '../fixtures/configuration.js';
import { createFakeClock } from '../fixtures/fake-clock.js';

const cut = createUnknownOutcome({
  code: 'answer-incomplete',
  message: 'cut',
  step: 'engine.stream',
  peer: 'e',
});
const noServer = createRefusal({
  code: 'no-backend-server',
  message: 'no server',
  step: 'permit.ask',
  peer: 'holder',
});
const declined = createRefusal({
  code: 'no-backend-server',
  message: 'declined',
  step: 'service.call',
  peer: 'w',
});

type Script = (request: EngineRequest) => (Result<EngineChunk, Failure> | 'silence')[];

function chunk(index: number, last = false, requestId = 'r1'): Result<EngineChunk, Failure> {
  return Ok({ requestId, index, text: `t${index}`, finishReason: last ? 'stop' : null });
}

/** Places each attempt on the first server that is not to be avoided; records the requests. */
function createPlacement(servers: string[], placementRequests: PlacementRequest[]): Placement {
  return {
    place(request) {
      placementRequests.push({ ...request, avoid: [...request.avoid] });
      const server = servers.find((name) => !request.avoid.includes(name));
      if (server === undefined) return Promise.resolve(Err(noServer));
      const place = { permitId: 'p', shard: 's', server, address: 'a', waitedMs: 0 };
      return Promise.resolve(Ok(place));
    },
    release: () => undefined,
  };
}

function setUp(placement: Placement, parts: { script?: Script; call?: () => Answered } = {}) {
  const { clock, advance, runUntil } = createFakeClock();
  const metrics = createMetrics();
  const budget = createRetryBudget(0.1);
  const random = createSeededRandom(1);
  const requests: EngineRequest[] = [];
  const backends = createBackends({
    createEngine: (id, address) =>
      ({
        id,
        address,
        async *generate(request: EngineRequest, signal: AbortSignal) {
          requests.push(request);
          for (const item of parts.script?.(request) ?? []) {
            if (item === 'silence') await waitForAbort(signal);
            else yield item;
          }
        },
      }) as never,
    createService: (id, address) =>
      ({ id, address, call: () => Promise.resolve(parts.call?.() ?? Err(cut)) }) as never,
  });
  const retries = createRetries({ node: 'n1', clock, random, budget, metrics, maxAttempts: 4 });
  const log = createSilentLog();
  const routing = { node: 'n1', clock, log, metrics, placement, backends, budget, retries };
  return {
    clock,
    advance,
    runUntil,
    metrics,
    requests,
    completions: createCompletionRunner({ ...routing, estimate: createOutputEstimate() }),
    services: createServiceCallRunner(routing),
  };
}

type Answered = Result<ServiceAnswer, Failure>;

function waitForAbort(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    signal.addEventListener('abort', () => {
      resolve();
    });
  });
}

const team = createObject({ kind: 'team', name: 'kumasi' }) as CompletionJob['team'];

function createClass(more: object = {}): CompletionJob['requestClass'] {
  const object = createObject({ kind: 'class', name: 'verdict', ...more });
  return object as CompletionJob['requestClass'];
}

const job: CompletionJob = {
  requestId: 'r1',
  team,
  requestClass: createClass(),
  groups: [],
  model: 'manual-7b',
  adapter: undefined,
  prompt: 'torque?',
  promptTokens: 1,
  prefixes: [],
  maxTokens: 8,
  arrivedAt: 0,
  deadlineAt: 5_000,
};

const serviceJob: ServiceJob = {
  requestId: 'r1',
  team,
  requestClass: createClass({ repeatable: false }),
  groups: [],
  call: { requestId: 'r1', method: 'POST', path: '/' },
  arrivedAt: 0,
  deadlineAt: 5_000,
};

async function collect(runner: ReturnType<typeof setUp>['completions'], completion = job) {
  const items: Result<EngineChunk, Failure>[] = [];
  for await (const item of runner.run(completion, new AbortController().signal)) items.push(item);
  const texts = items.filter((item) => item.isOk()).map((item) => item.unwrap().text);
  const failure = items.find((item) => item.isErr())?.unwrapErr();
  return { texts, failure };
}

describe('completion runner', () => {
  it('resumes a cut stream after its last token and drops duplicate and misdirected chunks', async () => {
    const placementRequests: PlacementRequest[] = [];
    const script: Script = ({ resumeFrom }) =>
      resumeFrom === 0
        ? [chunk(0), chunk(0), chunk(1, false, 'r2'), chunk(1), Err(cut)]
        : [chunk(1), chunk(2), chunk(3, true)];
    const { completions, requests, runUntil } = setUp(
      createPlacement(['e1', 'e2'], placementRequests),
      {
        script,
      },
    );
    const { texts } = await runUntil(collect(completions));
    expect(texts).to.deep.equal(['t0', 't1', 't2', 't3']);
    expect(requests.map(({ resumeFrom }) => resumeFrom)).to.deep.equal([0, 2]);
    expect(placementRequests[1]?.avoid).to.deep.equal(['e1']);
  });

  it('resumes a cut answer when declined attempts have used up their own retry budget', async () => {
    let declining = true;
    const full: Failure = { ...declined, step: 'engine.connect', code: 'queue-full' };
    const { completions, runUntil } = setUp(createPlacement(['e1', 'e2', 'e3', 'e4'], []), {
      script: ({ resumeFrom }) => {
        if (declining) return [Err(full)];
        return resumeFrom === 0 ? [chunk(0), Err(cut)] : [chunk(1, true)];
      },
    });
    for (let index = 0; index < 8; index += 1) await runUntil(collect(completions));
    declining = false;
    expect((await runUntil(collect(completions))).texts).to.deep.equal(['t0', 't1']);
  });

  it('treats a gap in the chunk indices as a cut stream', async () => {
    const script: Script = ({ resumeFrom }) =>
      resumeFrom === 0 ? [chunk(0), chunk(2, true)] : [chunk(1, true)];
    const { completions, runUntil } = setUp(createPlacement(['e1', 'e2'], []), { script });
    expect((await runUntil(collect(completions))).texts).to.deep.equal(['t0', 't1']);
  });

  it('retries the engine that cut the stream when there is no other', async () => {
    const placementRequests: PlacementRequest[] = [];
    const script: Script = ({ resumeFrom }) =>
      resumeFrom === 0 ? [chunk(0), Err(cut)] : [chunk(1, true)];
    const { completions, runUntil } = setUp(createPlacement(['e1'], placementRequests), { script });
    const { texts, failure } = await runUntil(collect(completions));
    expect(failure).to.equal(undefined);
    expect(texts).to.deep.equal(['t0', 't1']);
    expect(placementRequests.map(({ avoid }) => avoid)).to.deep.equal([[], ['e1'], []]);
  });

  it('keeps asking for a place to resume a begun answer before the deadline', async () => {
    const placementRequests: PlacementRequest[] = [];
    let placed = 0;
    const unlimited = createPlacement(['e1'], placementRequests);
    const placement: Placement = {
      ...unlimited,
      place: (request, signal) => {
        placed += 1;
        return placed > 1 && placed < 10
          ? Promise.resolve(Err(noServer))
          : unlimited.place(request, signal);
      },
    };
    const script: Script = ({ resumeFrom }) =>
      resumeFrom === 0 ? [chunk(0), Err(cut)] : [chunk(1, true)];
    const { completions, runUntil, metrics } = setUp(placement, { script });
    expect((await runUntil(collect(completions))).texts).to.deep.equal(['t0', 't1']);
    const counted = (await metrics.retries.get()).values;
    expect(counted.map(({ labels, value }) => [labels.reason, value])).to.deep.equal([
      ['answer-incomplete', 1],
      ['no-backend-server', 8],
    ]);
  });

  it('retries a request cut before its first token after the first-token deadline', async () => {
    const placementRequests: PlacementRequest[] = [];
    const strict = createPlacement(['e1', 'e2'], placementRequests);
    const { completions, runUntil, advance, clock } = setUp(
      {
        ...strict,
        place: (request, signal) =>
          clock.now() >= request.firstTokenBy
            ? Promise.resolve(Err({ ...noServer, code: 'cannot-be-on-time' }))
            : strict.place(request, signal),
      },
      { script: () => (placementRequests.length === 1 ? [Err(cut)] : [chunk(0, true)]) },
    );
    await advance(1_000);
    const requestClass = createClass({ firstTokenMs: 1_001 });
    expect((await runUntil(collect(completions, { ...job, requestClass }))).texts).to.deep.equal([
      't0',
    ]);
  });

  it('ends at the deadline when no token has arrived', async () => {
    const { completions, clock, runUntil } = setUp(createPlacement(['e1'], []), {
      script: () => ['silence'],
    });
    const requestClass = createClass({ firstTokenMs: 60_000 });
    const { failure } = await runUntil(collect(completions, { ...job, requestClass }));
    expect(failure).to.include({ code: 'deadline-expired', outcome: 'unknown' });
    expect(clock.now()).to.be.within(5_000, 5_100);
  });

  it('starts no attempt past the deadline and reports the outcome as unknown', async () => {
    const { completions, runUntil, requests, clock } = setUp(createPlacement(['e1', 'e2'], []), {
      script: () => [chunk(0), Err(cut)],
    });
    const shortJob = { ...job, deadlineAt: clock.now() + 1 };
    const { failure } = await runUntil(collect(completions, shortJob));
    expect(requests).to.have.length(1);
    expect(failure).to.include({ code: 'deadline-expired', outcome: 'unknown' });
  });

  it('does not retry a non-repeatable request that may have run', async () => {
    const { completions, runUntil, requests } = setUp(createPlacement(['e1', 'e2'], []), {
      script: () => [Err(cut)],
    });
    const unrepeatable = { ...job, requestClass: createClass({ repeatable: false }) };
    const { failure } = await runUntil(collect(completions, unrepeatable));
    expect(requests).to.have.length(1);
    expect(failure?.outcome).to.equal('unknown');
  });
});

describe('service call runner', () => {
  const complete: Answered = Ok({ status: 200, contentType: 'text/plain', body: Buffer.from('x') });

  it('sends nothing when the claim completes after the deadline', async () => {
    let calls = 0;
    const call = () => {
      calls += 1;
      return complete;
    };
    const { services, runUntil, advance } = setUp(createPlacement(['w1'], []), { call });
    const slowClaim = async () => {
      await advance(6_000);
      return undefined;
    };
    const { signal } = new AbortController();
    const result = await runUntil(services.run(serviceJob, signal, slowClaim));
    expect(result.unwrapErr()).to.include({ code: 'deadline-expired', outcome: 'not-run' });
    expect(calls).to.equal(0);
  });

  it('retries a worker that declined when there is no other, with one claim', async () => {
    const answers: Answered[] = [Err(declined), complete];
    const { services, runUntil } = setUp(createPlacement(['w1'], []), {
      call: () => answers.shift() ?? Err(cut),
    });
    let claims = 0;
    const claim = () => {
      claims += 1;
      return Promise.resolve(undefined);
    };
    const { signal } = new AbortController();
    const result = await runUntil(services.run(serviceJob, signal, claim));
    expect(result.isOk()).to.equal(true);
    expect(claims).to.equal(1);
  });

  it('sends a non-repeatable call once and reports unknown when its answer is lost', async () => {
    let calls = 0;
    const call = () => {
      calls += 1;
      return Err(cut);
    };
    const { services, runUntil } = setUp(createPlacement(['w1', 'w2'], []), { call });
    const { signal } = new AbortController();
    const run = services.run(serviceJob, signal, () => Promise.resolve(undefined));
    expect((await runUntil(run)).unwrapErr().outcome).to.equal('unknown');
    expect(calls).to.equal(1);
  });
});

describe('placement without a holder', () => {
  it('excludes servers that are leaving or do not answer', async () => {
    const { clock } = createFakeClock();
    const states = new Map([
      ['w1', Ok({ leaving: true })],
      ['w2', Ok({ leaving: false })],
    ]);
    const backends = createBackends({
      createEngine: () => ({}) as never,
      createService: (id) =>
        ({ id, state: () => Promise.resolve(states.get(id) ?? Err(declined)) }) as never,
    });
    const vms = ['w1', 'w2', 'w3'].map((id) => createVm({ id, kind: 'plain-service' }));
    const placement = createDirectPlacement({
      node: 'n1',
      random: createSeededRandom(3),
      inUse: createPlacesInUse(),
      createId: () => 'p',
      serversOf: () => vms,
      shardOf: () => 'catalogue',
      lastKnownFree: () => undefined,
      availability: createServerAvailability(clock, backends),
    });
    const { signal } = new AbortController();
    const group = { name: 'g' };
    const request = { requestId: 'r1', groups: [group], avoid: [] } as unknown as PlacementRequest;
    for (let count = 0; count < 20; count++) {
      expect((await placement.place(request, signal)).unwrap().server).to.equal('w2');
    }
  });
});
