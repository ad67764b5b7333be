// Guards against a promise that is not true, in any order of what can happen to a send: a model of servers, connections
// and callers makes up cases, and what callers saw is held against what servers did.
//
// MODEL_SEED and MODEL_RUNS in the environment play other cases, and more of them; MODEL_STATUSES, separated by commas,
// leaves only these to the servers, so that one fault does not hide another.
import { setTimeout as wait } from 'node:timers/promises';
import { expect } from 'chai';
import fc from 'fast-check';
import { ask, configuration, promptHeads, until } from '../fixtures/gateway.js';
import { startRawFleet, type RawFleet } from '../fixtures/raw-fleet.js';
import { idOf, type RawRequest } from '../fixtures/raw-server.js';
import {
  createScriptedServers,
  delayConnects,
  isStatedNotToRun,
  type Script,
  type ScriptedHead,
  type ScriptedServers,
  type SlowConnects,
} from '../fixtures/scripted-server.js';
import type { SeenAnswer } from '../../tools/soak/callers.js';

const SEED = Number(process.env.MODEL_SEED ?? 63);
const RUNS = Number(process.env.MODEL_RUNS ?? 50);
/** Cases of a single request. */
const RUNS_OF_ONE = Math.ceil(RUNS / 4);

/** Longest time of a case that is made smaller, in ms; all of them together. */
const SHRINK_MS = 300_000;
/** A caller that has no answer by then counts as one that never gets any, in ms: many times its deadline. */
const PATIENCE_MS = 10_000;
/** Deadline of requests that are to be answered whatever the machine is busy with, in ms. */
const LONG_MS = 20_000;

/** Statuses that tell a caller that its request did not run and never will. */
const PROMISES = [408, 421, 429, 503];

/** Statuses of servers; those that promise something come oftener. */
const STATUSES = process.env.MODEL_STATUSES?.split(',').map(Number) ?? [
  ...[...PROMISES, ...PROMISES],
  ...[200, 204, 400, 404, 425, 500, 502, 504],
];

const backends = { once: 'pages', twice: 'pages', any: 'pages', single: 'chat' } as const;

type RouteName = keyof typeof backends;

/** How connections to a server open: at once, after so many ms, or not at all. */
type Opening = number | 'refused';

/** One request of a caller. */
interface Asked {
  route: RouteName;
  /** What its first server does and what the others do. */
  scripts: readonly [Script, Script];
  deadlineMs: number;
  bodyBytes: number;
  leaveAfterMs: number | undefined;
  /** Whether the servers' idle connections are closed so many ms after it was sent. */
  closeIdleAfterMs: number | undefined;
  /** Whether it waits for the answers to those before. */
  isInTurn: boolean;
}

interface Case {
  openings: readonly [Opening, Opening];
  asked: readonly Asked[];
}

const anyHead: fc.Arbitrary<ScriptedHead> = fc.record({
  status: fc.constantFrom(...STATUSES),
  isSigned: fc.boolean().map((is) => !is),
  isDeclined: fc.constantFrom(false, false, true),
  id: fc.constantFrom('own', 'own', 'own', 'own', 'other', 'none'),
  retryAfter: fc.constantFrom(undefined, '0.01', '1'),
  isLeaving: fc.constantFrom(false, false, false, true),
  isLast: fc.constantFrom(false, false, true),
  framing: fc.constantFrom('length', 'chunked', 'close'),
});

const anyScript: fc.Arbitrary<Script> = fc.record({
  run: fc.constantFrom('first', 'last', 'never'),
  earlier: fc.oneof(
    { weight: 2, arbitrary: fc.constant([]) },
    { weight: 1, arbitrary: fc.array(fc.constantFrom('decline', 'page'), { maxLength: 2 }) },
  ),
  informational: fc.array(fc.constantFrom(100, 102, 103), { maxLength: 2 }),
  head: anyHead,
  upTo: fc.constantFrom('whole', 'whole', 'whole', 'part', 'head', 'nothing'),
  ending: fc.constantFrom('keep', 'keep', 'end', 'reset'),
  isRepeated: fc.boolean(),
  pausesMs: fc.array(fc.constantFrom(0, 1, 5), { minLength: 1, maxLength: 4 }),
});

const good: Script = {
  run: 'first',
  earlier: [],
  informational: [],
  head: {
    status: 200,
    isSigned: true,
    isDeclined: false,
    id: 'own',
    retryAfter: undefined,
    isLeaving: false,
    isLast: false,
    framing: 'length',
  },
  upTo: 'whole',
  ending: 'keep',
  isRepeated: false,
  pausesMs: [0],
};

const mostlyGood = fc.oneof(
  { weight: 1, arbitrary: fc.constant(good) },
  { weight: 2, arbitrary: anyScript },
);

const anyAsked: fc.Arbitrary<Asked> = fc.record({
  route: fc.constantFrom('once', 'single', 'twice', 'any'),
  scripts: fc.tuple(mostlyGood, mostlyGood),
  deadlineMs: fc.constantFrom(100, 100, 300),
  bodyBytes: fc.constantFrom(0, 10, 90_000),
  leaveAfterMs: fc.constantFrom(...Array<undefined>(8).fill(undefined), 0, 2, 10),
  closeIdleAfterMs: fc.constantFrom(...Array<undefined>(6).fill(undefined), 0, 1, 2),
  isInTurn: fc.constantFrom(true, true, false),
});

/** Later than the gateway waits for a connection. */
const NEVER_MS = 60_000;

const anyOpening = fc.constantFrom<Opening>(0, 0, 0, 0, 0, 30, 245, 260, NEVER_MS, 'refused');

const anyCase: fc.Arbitrary<Case> = fc.record({
  openings: fc.tuple(anyOpening, anyOpening),
  asked: fc.array(anyAsked, { minLength: 1, maxLength: 4 }),
});

const anyOnce = fc.constantFrom<RouteName>('once', 'single', 'twice');

const calm: Omit<Asked, 'route' | 'scripts'> = {
  deadlineMs: LONG_MS,
  bodyBytes: 0,
  leaveAfterMs: undefined,
  closeIdleAfterMs: undefined,
  isInTurn: true,
};

/** Scripts whose answer arrives. An answer of another request, which is read past, may take the one behind it along. */
const anyStated = anyScript.map((script): Script => {
  const ending = script.ending === 'reset' ? 'end' : script.ending;
  return { ...script, earlier: [], ending };
});

/** Scripts whose answer is whole and a failure that promises nothing. */
const anyFailure = fc
  .tuple(anyStated, fc.constantFrom(500, 400, 404))
  .map(([script, status]): Script => {
    const head: ScriptedHead = { ...script.head, status, isDeclined: false, id: 'own' };
    const ending = head.framing === 'close' ? 'end' : script.ending;
    return { ...script, head, upTo: 'whole', ending };
  });

/** What a caller saw; `undefined` if its connection was closed without an answer, or nothing came. */
type Seen = SeenAnswer | undefined;

/** A case that was played. */
interface Played {
  seen: readonly Seen[];
  servers: ScriptedServers;
  /** Ids of requests that arrived at servers. */
  received: readonly string[];
}

function resolveId(index: number): string {
  return `r${index}`;
}

/** Whether a route's requests may run once only. */
function runsOnce(route: RouteName): boolean {
  return route !== 'any';
}

/** All routes, with time limits that are left to the callers' deadlines. */
function describeRoutes(): Record<string, unknown> {
  const route = { hostname: 'desk.example', targetLatencyMs: 400, backend: 'pages', priority: 2 };
  const twice = { ...route, name: 'twice', pathPrefix: '/twice/', kind: 'non_idempotent' };
  const all = configuration(2, [{ ...twice, maxAttempts: 2 }]);
  const routes = all.routes.map((each) => ({ ...each, timeoutMs: LONG_MS }));
  return { ...all, routes };
}

describe('what a caller is told of a request, whatever became of its sends', () => {
  let connects: SlowConnects;
  const closing: Promise<void>[] = [];

  before(() => {
    connects = delayConnects();
  });

  after(async () => {
    connects.restore();
    await Promise.all(closing);
  });

  async function startServers(
    fleet: RawFleet,
    backend: string,
    openings: Case['openings'],
    serve: (server: string, request: RawRequest) => void,
  ): Promise<void> {
    for (const [index, opening] of openings.entries()) {
      const id = `${backend}-${index}`;
      const more = backend === 'chat' ? { stage: 'decode' } : {};
      const server = await fleet.add(id, backend, more, (request) => {
        serve(id, request);
      });
      if (opening === 'refused') await server.close();
      else connects.slow(Number(server.address.split(':')[1]), opening);
    }
  }

  async function playCase({ openings, asked }: Case): Promise<Played> {
    const fleet = await startRawFleet();
    try {
      const servers = createScriptedServers();
      const received: string[] = [];
      const serve = (server: string, request: RawRequest): void => {
        const id = idOf(request);
        if (id === '') return;
        const isFirst = !received.includes(id);
        received.push(id);
        const script = asked[Number(id.slice(1))]?.scripts[isFirst ? 0 : 1];
        if (script !== undefined) servers.play(server, request, script);
      };
      fleet.store.put('op', 'config', describeRoutes());
      await until(() => fleet.gateway.log.lines.some((line) => line.fields.version === 2));
      for (const backend of new Set(asked.map(({ route }) => backends[route]))) {
        await startServers(fleet, backend, openings, serve);
      }
      const seen = await askAll(fleet.port, asked, servers);
      await servers.finished();
      return { seen, servers, received };
    } finally {
      connects.clear();
      closing.push(fleet.close());
    }
  }

  async function askAll(
    port: number,
    asked: readonly Asked[],
    servers: ScriptedServers,
  ): Promise<Seen[]> {
    const seen: Promise<Seen>[] = [];
    for (const [index, request] of asked.entries()) {
      if (request.isInTurn) await Promise.all(seen);
      seen.push(askOne(port, resolveId(index), request));
      if (request.closeIdleAfterMs !== undefined) {
        setTimeout(() => {
          servers.closeIdle();
        }, request.closeIdleAfterMs);
      }
    }
    return Promise.all(seen);
  }

  async function askOne(port: number, id: string, asked: Asked): Promise<Seen> {
    const question = {
      method: asked.bodyBytes > 0 ? 'POST' : 'GET',
      path: `/${asked.route}/${id}`,
      headers: {
        ...promptHeads(id),
        'X-Request-Deadline-Ms': String(asked.deadlineMs),
        ...(asked.bodyBytes > 0 ? { 'Content-Length': String(asked.bodyBytes) } : {}),
      },
      body: 'b'.repeat(asked.bodyBytes),
      ...(asked.leaveAfterMs === undefined ? {} : { leaveAfterMs: asked.leaveAfterMs }),
    };
    const patience = wait(asked.deadlineMs + PATIENCE_MS, undefined, { ref: false });
    try {
      return await Promise.race([ask(port, question), patience]);
    } catch {
      return undefined;
    }
  }

  it('is true, and is its own', async function () {
    this.timeout(SHRINK_MS);
    const property = fc.asyncProperty(anyCase, async (terms) => {
      const played = await playCase(terms);
      const violations = terms.asked.flatMap((asked, index) =>
        findViolations(asked, resolveId(index), played.seen[index], played),
      );
      expect(violations).to.deep.equal([]);
    });
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  /** Plays a request that servers with open connections answer by one script. */
  async function seeAnswer(route: RouteName, script: Script): Promise<Seen> {
    const asked: Asked = { ...calm, route, scripts: [script, script] };
    const { seen } = await playCase({ openings: [0, 0], asked: [asked] });
    return seen[0];
  }

  it('is that it did not run, and when to come back, where servers state the first', async function () {
    this.timeout(SHRINK_MS);
    const stated = anyStated.filter(isStatedNotToRun);
    const property = fc.asyncProperty(anyOnce, stated, async (route, script) => {
      const seen = await seeAnswer(route, script);
      expect(PROMISES).to.include(seen?.status);
      expect(Number(seen?.headers['retry-after'])).to.be.greaterThan(0);
    });
    await fc.assert(property, { seed: SEED, numRuns: RUNS_OF_ONE });
  });

  it('is what the server answered, where that is a failure that promises nothing', async function () {
    this.timeout(SHRINK_MS);
    const property = fc.asyncProperty(anyOnce, anyFailure, async (route, script) => {
      const seen = await seeAnswer(route, script);
      expect(seen).to.include({ status: script.head.status, isWhole: true });
      const signature = seen?.headers['x-server-signature'];
      expect(signature !== undefined).to.equal(script.head.isSigned);
      expect(seen?.body).to.match(
        /^id: 1\ndata: 1 of <r0> by .*\n\nid: 2\ndata: 2 of <r0> by .*\n\n$/u,
      );
    });
    await fc.assert(property, { seed: SEED, numRuns: RUNS_OF_ONE });
  });
});

/** What is wrong with what one caller saw. */
function findViolations(asked: Asked, id: string, seen: Seen, played: Played): string[] {
  const { servers, received } = played;
  const runs = servers.runs.filter((ran) => ran === id).length;
  const isReceived = received.includes(id);
  const violations: string[] = [];
  function check(isWrong: boolean, text: string): void {
    if (isWrong) violations.push(`${id}: ${text}`);
  }
  check(runsOnce(asked.route) && runs > 1, `ran ${runs} times`);
  if (seen === undefined) {
    const state = isReceived ? 'it reached a server' : 'it reached no server';
    check(asked.leaveAfterMs === undefined, `no answer, and ${state}`);
    return violations;
  }
  const { status, headers, body, isWhole } = seen;
  const isSuccess = status >= 200 && status < 300;
  const isPromise = PROMISES.includes(status);
  check(runsOnce(asked.route) && isPromise && runs > 0, `answered ${status}, and ran`);
  const signature = headers['x-server-signature'];
  const isGiven = servers.given.some(
    (given) =>
      given.id === id &&
      given.status === status &&
      given.signature === signature &&
      given.body === body,
  );
  const claimsServer = signature !== undefined || isSuccess;
  check(isWhole && claimsServer && !isGiven, `a server's answer ${status} that none gave`);
  check(isSuccess && signature === undefined, `success ${status} without a signature`);
  const named = [...`${String(signature)} ${body}`.matchAll(/<(\w+)>/gu)].map(([, name]) => name);
  const idGiven = headers['x-request-id'] ?? id;
  check(idGiven !== id || named.some((name) => name !== id), 'answer of another request');
  return violations;
}
