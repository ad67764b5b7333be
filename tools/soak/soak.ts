/**
 * One seeded run: gateways as processes, a store and backend servers in this one, proxies between
 * them, callers, and faults in series that overlap. Ends with a calm phase in which every gateway
 * must serve again.
 */
import type { ServerResponse } from 'node:http';
import {
  breakStream,
  echo,
  sign,
  startServerStandIn,
  startStoreStandIn,
  type ReceivedRequest,
  type ScriptedAnswer,
  type ServerStandIn,
  type StoreStandIn,
} from '../../stand-ins/users-platform/index.js';
import { createSeededRandom, type RandomSource } from '../../src/task/index.js';
import { answerPage, answerStream, EVENTS } from './answers.js';
import { createAskingServers, type Asks } from './asking.js';
import { ask } from './callers.js';
import { PATIENCE_MS, renderConfiguration, renderHeaders, renderPrompt } from './configuration.js';
import { judgeCalm, pause, IN_FORCE_MS, type SeenStatus } from './calm.js';
import { createCuts } from './cuts.js';
import { drawEdges } from './edges.js';
import { createFatalCount, FATAL_PART } from './fatal.js';
import { createGatewayProcess, type GatewayProcess } from './gateways.js';
import { judge, type Account } from './judge.js';
import { createRetryCount } from './retries.js';
import { createSpanServers, type SpanCounts, type WholeAnswer } from './spans.js';
import {
  judgeStory,
  MAX_ATTEMPTS,
  renderContinuation,
  tellStory,
  type StreamCounts,
  type StreamStory,
} from './streams.js';
import { startProxy, type Disturbance, type DisturbingProxy } from './proxy.js';

const BUILT_PROGRAM = 'dist/platform/main.js';
const GATEWAYS = 3;
/** Gateways that may be cut from the servers; each of these has one more process. */
const MOST_CUT = 16;
/** Time between two requests, in ms. */
const REQUEST_MS = 12;
/** Time between two faults, in ms; each lasts up to three times as long, so that they overlap. */
const FAULT_MS = 350;
/** Longest time for a start or for the calm at the end, in ms. */
const SETTLE_MS = 15_000;

/** Time without disturbance after which the rules hold again, in ms, as the users' pages have it. */
const CONTACT_MS = 3_000;
/** Body of a server's failure, which is one event, so that it is a whole answer to a stream too. */
const FAILURE_BODY = 'id: 1\ndata: it failed\n\n';
/** Part of the requests that servers turn away while they refuse. */
const REFUSED_SHARE = 0.7;
/** What servers ask for while faults go on. */
const ASKS: readonly Asks[] = [{ limitPerS: 5 }, { restS: 1 }, { isLeaving: true }];
/** Time between two cuts of a gateway from the servers, in ms; each lasts up to as long. */
const CUT_MS = 1_400;
/** Part of the requests that end their servers while faults go on. */
const FATAL_SHARE = 0.01;
/** Time between two releases of the engines' software, in ms; two versions serve side by side from one to the next. */
const RELEASE_MS = 1_500;
/** Time for which servers do what a span draws, in ms. */
const SPAN_MS = 800;
/** Time between two further requests while servers have few places, in ms. */
const PRESS_MS = 4;
/** Part of these that may run once. */
const PRESSED_ONCE_SHARE = 0.7;
/** Events up to which each send of a stream breaks off, while streams are to be continued by their callers. */
const BROKEN_EVENTS = 2;
/** Time after which the operator and the servers have written again what a restored store lacks, in ms. */
const REWRITE_MS = 1_500;

/** What a run found. */
export interface SoakResult {
  requests: number;
  succeeded: number;
  faults: number;
  spans: SpanCounts;
  /** What was broken, with the request's id. */
  broken: string[];
}

/** How a run goes. */
export interface SoakTerms {
  seed: number;
  seconds: number;
  /** Where settings and logs go. */
  folder: string;
  /** The gateway's program; another one than the built one for controls. */
  program?: string;
  gateways?: number;
}

/** Where a request of the soak goes. */
export type SoakRoute = Account['kind'] | 'changed' | 'stream-with-fatal-part';

function resolveKind(route: SoakRoute): Account['kind'] {
  if (route === 'changed') return 'any';
  return route === 'stream-with-fatal-part' ? 'stream' : route;
}

/** The first segment of a request's path. */
function resolvePrefix(route: SoakRoute): string {
  return route === 'changed' ? route : resolveKind(route);
}

/** A server with the proxy before it. */
export interface Backend {
  id: string;
  service: string;
  role: 'prefill' | 'decode' | undefined;
  server: ServerStandIn;
  proxy: DisturbingProxy;
  bornAtMs: number;
  /** Of its software. */
  version: string;
}

/**
 * Runs one seed.
 *
 * @param terms the seed, the length and the folder
 */
export async function runSoak(terms: SoakTerms): Promise<SoakResult> {
  const random = createSeededRandom(terms.seed);
  const { program = BUILT_PROGRAM, gateways: gatewayCount = GATEWAYS } = terms;
  const store = await startStoreStandIn();
  const accounts = new Map<string, Account>();
  const backends: Backend[] = [];
  const storeProxies: DisturbingProxy[] = [];
  const gateways: GatewayProcess[] = [];
  const pending = new Set<Promise<void>>();
  const fatal = createFatalCount();
  const asking = createAskingServers();
  const retries = createRetryCount();
  /** Until when servers turn most requests away, in ms of the steady clock. */
  let refusingUntil = 0;
  /** The gateway to which each request was sent. */
  const sentTo = new Map<string, string>();
  /** Apart from the faults, which a seed draws as before. */
  const askingRandom = createSeededRandom(terms.seed);
  /** Apart from the faults, as above. */
  const cutRandom = createSeededRandom(terms.seed + 1);
  const cuts = createCuts(Math.min(gatewayCount, MOST_CUT), cutRandom);
  /** Apart from the faults, as above. */
  const versionRandom = createSeededRandom(terms.seed + 2);
  /** Apart from the faults, as above. */
  const spans = createSpanServers(
    createSeededRandom(terms.seed + 3),
    createSeededRandom(terms.seed + 4),
  );
  /** Apart from the faults, as above. */
  const pressRandom = createSeededRandom(terms.seed + 5);
  /** Apart from the faults, as above. */
  const edgeRandom = createSeededRandom(terms.seed + 6);
  /** Software versions at which engines start. */
  let versions = ['v1', 'v2'];
  /** Each send of a stream breaks off. */
  let isBreakingStreams = false;
  /** By the attempt that began each stream. */
  const stories = new Map<string, StreamStory>();
  const attemptsByStream = new Map<string, number>();
  /** Streams whose callers wait before they continue them; `undefined` while callers do not wait. */
  let held: StreamStory[] | undefined;
  const streamCounts: StreamCounts = { asked: 0, begun: 0, toContinue: 0, continued: 0 };
  const copies = [store.copy()];
  const broken: string[] = [];
  let configuration: unknown;
  let faults = 0;
  let counter = 0;
  let version = 1;

  async function addBackend(
    service: string,
    role?: 'prefill' | 'decode',
    version = drawVersion(),
  ): Promise<void> {
    counter += 1;
    await startBackend(`${service}-${counter}`, service, role, version);
  }

  function drawVersion(): string {
    return versions[Math.floor(versionRandom.next() * versions.length)] ?? 'v1';
  }

  async function startBackend(
    id: string,
    service: string,
    role: Backend['role'],
    version: string,
  ): Promise<void> {
    const events = service === 'chat' ? { events: EVENTS } : {};
    const server = await startServerStandIn({ id, ...events, ...(role && { role }) });
    const proxy = await startProxy(server.address);
    await cuts.open(proxy.address);
    const backend: Backend = { id, service, role, server, proxy, bornAtMs: Date.now(), version };
    backends.push(backend);
    register(backend, 'ready');
    scriptRuns(backend);
  }

  function register(backend: Backend, state: string): void {
    const { id, service, role, proxy, bornAtMs, version } = backend;
    const place = { backend: service, address: proxy.address, zone: 'zone-a', version };
    const own = { slots: 64, state, coldRemainingMs: 0, stage: role, sequence: 1, born: bornAtMs };
    store.put('servers', id, { ...place, ...own });
  }

  /** A server crashes and starts again under its id, at another address. */
  async function restartBackend(): Promise<void> {
    const gone = pick(backends);
    if (gone !== undefined) await restart(gone);
  }

  async function restart(gone: Backend): Promise<void> {
    const index = backends.indexOf(gone);
    if (index < 0) return;
    backends.splice(index, 1);
    await Promise.all([gone.server.close(), gone.proxy.close()]);
    await startBackend(gone.id, gone.service, gone.role, drawVersion());
  }

  /** The store is back from an older copy; what the operator and the servers wrote is written again. */
  function restoreStore(): void {
    const copy = pick(copies);
    if (copy === undefined) return;
    store.restore(copy);
    copies.length = 0;
    setTimeout(() => {
      store.put('op', 'config', configuration);
      for (const backend of backends) register(backend, 'ready');
    }, REWRITE_MS * random.next());
  }

  /** A server asks for less for a while, or leaves and starts again. */
  function askForLess(): void {
    const server = backends[Math.floor(askingRandom.next() * backends.length)];
    const asks = ASKS[Math.floor(askingRandom.next() * ASKS.length)];
    if (server === undefined || asks === undefined) return;
    asking.set(server.id, asks);
    setTimeout(() => {
      asking.set(server.id, undefined);
      if (asks.isLeaving === true) track(restart(server));
    }, FAULT_MS * 4);
  }

  /** Another writer spoils an entry for a while, or leaves one that never was good. */
  function spoilEntry(): void {
    const spoilt = pick(backends);
    if (spoilt === undefined) return;
    store.put('servers', `no-server-${counter}`, { backend: 'pages', address: 7 });
    store.put('servers', spoilt.id, { backend: spoilt.service, state: 'unheard-of' });
    setTimeout(() => {
      if (backends.includes(spoilt)) register(spoilt, 'ready');
    }, FAULT_MS * 2);
  }

  /** Every request goes through a script that notes who ran it and sometimes misbehaves. */
  function scriptRuns(backend: Backend): void {
    const answer: ScriptedAnswer = (request, response) => {
      backend.server.script(answer);
      const id = String(request.headers['x-request-id']);
      spans.repeatDue(id, response);
      const asked = asking.arrived(backend.id, sentTo.get(id) ?? '');
      for (const [name, value] of Object.entries(asked)) response.setHeader(name, value);
      const isPrefill = request.headers['x-stage'] === 'prefill';
      const isRefusing = performance.now() < refusingUntil && askingRandom.next() < REFUSED_SHARE;
      const isOther = request.headers['x-target-instance'] !== backend.id;
      const isTurnedAway =
        !isOther &&
        (isRefusing ||
          asking.isPaused(backend.id) ||
          random.next() < 0.03 ||
          (!isPrefill && spans.isFull(backend.id)));
      retries.arrived(backend.service, id, isPrefill && !isTurnedAway && !isOther);
      if (isOther) {
        response.writeHead(421, { 'X-Request-Id': id, 'X-Instance-Id': backend.id }).end();
      } else if (isTurnedAway) {
        const headers = { 'X-Request-Id': id, 'X-Not-Executed': '1' };
        give(id, response, { status: 503, headers, body: '' });
      } else if (isPrefill) {
        response.writeHead(200, { 'X-Request-Id': id }).end(JSON.stringify({ kvHandle: id }));
      } else {
        accounts.get(id)?.runs.push(backend.id);
        if (fatal.ends(request.path, String(request.headers['x-prompt-prefix'] ?? ''))) {
          track(restart(backend));
          return;
        }
        spans.run(backend.id, response, () => {
          answerRun(backend, request, response);
        });
      }
    };
    backend.server.script(answer);
  }

  function give(id: string, response: ServerResponse, answer: WholeAnswer): void {
    response.writeHead(answer.status, answer.headers).end(answer.body);
    spans.answered(id, response, answer);
  }

  /** Answers a request that a server has run. */
  function answerRun(backend: Backend, request: ReceivedRequest, response: ServerResponse): void {
    const id = String(request.headers['x-request-id']);
    const failure = spans.drawFailure();
    const given = accounts.get(id)?.given;
    if (random.next() < 0.03) {
      response.socket?.resetAndDestroy();
    } else if (failure !== undefined) {
      const { status, isSigned } = failure;
      given?.push({ server: backend.id, status });
      const own = isSigned ? sign(request, backend.id) : echo(request);
      give(id, response, { status, headers: { ...own, ...failure.headers }, body: FAILURE_BODY });
    } else {
      given?.push({ server: backend.id, status: 200 });
      if (backend.service === 'chat') {
        answerAsEngine(backend.version, request, response);
        return;
      }
      const body = answerPage(backend.id, random, request, response);
      spans.answered(id, response, { status: 200, headers: sign(request, backend.id), body });
    }
  }

  function answerAsEngine(
    version: string,
    request: ReceivedRequest,
    response: ServerResponse,
  ): void {
    const last = Number(request.headers['last-event-id'] ?? 0);
    if (isBreakingStreams && last < BROKEN_EVENTS) breakStream(request, response, 1, version);
    else answerStream(version, random, request, response);
  }

  /** A further version is released: engines of the oldest one are replaced by some of the newest. */
  async function release(): Promise<void> {
    const [, newest = 'v1'] = versions;
    versions = [newest, `v${Number(newest.slice(1)) + 1}`];
    const outdated = backends.filter(
      ({ service, version }) => service === 'chat' && !versions.includes(version),
    );
    for (const engine of outdated) await replaceBackend(engine);
  }

  async function removeBackend(): Promise<void> {
    const gone = backends[Math.floor(random.next() * backends.length)];
    if (gone !== undefined) await replaceBackend(gone);
  }

  async function replaceBackend(gone: Backend): Promise<void> {
    const index = backends.indexOf(gone);
    if (index < 0) return;
    backends.splice(index, 1);
    if (random.next() < 0.5) register(gone, 'draining');
    else store.remove('servers', gone.id);
    await addBackend(gone.service, gone.role);
    store.remove('servers', gone.id);
    await Promise.all([gone.server.close(), gone.proxy.close()]);
  }

  function configure(): void {
    configuration = renderConfiguration(version);
    store.put('op', 'config', configuration);
    version += 1 + Math.floor(random.next() * 5);
  }

  function pick<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(random.next() * items.length)];
  }

  function disturbProxy(proxy: DisturbingProxy | undefined): void {
    const kinds: Disturbance[] = ['delay', 'reset', 'mute-requests', 'mute-answers', 'refuse'];
    proxy?.disturb(pick(kinds) ?? 'delay');
    setTimeout(() => proxy?.disturb('none'), FAULT_MS * 3 * random.next());
  }

  function disturbGateway(gateway: GatewayProcess | undefined): void {
    if (gateway === undefined) return;
    const name = pick(['SIGKILL', 'SIGTERM', 'SIGSTOP', 'SIGHUP'] as const) ?? 'SIGKILL';
    gateway.signal(name);
    if (name === 'SIGSTOP')
      setTimeout(() => {
        gateway.signal('SIGCONT');
      }, FAULT_MS * 4);
  }

  async function cause(): Promise<void> {
    faults += 1;
    copies.push(store.copy());
    if (random.next() < 0.04) restoreStore();
    const chance = random.next();
    if (chance < 0.3) disturbGateway(pick(gateways));
    else if (chance < 0.5) disturbProxy(pick(storeProxies));
    else if (chance < 0.7) disturbProxy(pick(backends)?.proxy);
    else if (chance < 0.76) await removeBackend();
    else if (chance < 0.82) await restartBackend();
    else if (chance < 0.86) spoilEntry();
    else if (chance < 0.93) configure();
    else disturbStore(store, random);
  }

  async function sendOne(
    gateway: GatewayProcess,
    route: SoakRoute = pick(['once', 'any', 'stream'] as const) ?? 'any',
    fatalName?: string,
    story?: StreamStory,
  ): Promise<SeenStatus> {
    counter += 1;
    const id = `r-${terms.seed}-${counter}`;
    const kind = resolveKind(route);
    const path =
      fatalName === undefined
        ? `/${resolvePrefix(route)}/${counter}`
        : fatal.pathOf(route, fatalName);
    const account: Account = {
      id,
      kind,
      path,
      answer: undefined,
      runs: [],
      given: [],
      events: EVENTS,
      afterEvent: story?.lastEvent ?? 0,
    };
    accounts.set(id, account);
    sentTo.set(id, gateway.node);
    retries.requested(kind === 'stream' ? 'chat' : 'pages');
    const fatalPart = route === 'stream-with-fatal-part' ? FATAL_PART : undefined;
    const prompt = kind === 'stream' ? renderPrompt(id, fatalPart) : {};
    const headers = { ...renderHeaders(id), ...prompt, ...renderContinuation(story) };
    const { host, frontPort: port } = gateway;
    const timeoutMs = PATIENCE_MS + 500;
    account.answer = await ask({ host, port, method: 'POST', path, headers, timeoutMs });
    if (route === 'stream' && fatalName === undefined) countStream(account, story);
    return account.answer?.status;
  }

  function countStream({ id, answer }: Account, story: StreamStory | undefined): void {
    const next = tellStory(story, id, answer);
    const hasEvents = next !== story;
    if (story === undefined) {
      streamCounts.asked += 1;
      if (hasEvents) streamCounts.begun += 1;
    } else {
      streamCounts.toContinue += 1;
      if (hasEvents) streamCounts.continued += 1;
    }
    if (next === undefined) return;
    stories.set(next.begunBy, next);
    if (next.lastEvent === EVENTS) return;
    if (held === undefined) track(continueStream(next));
    else held.push(next);
  }

  /** A caller continues its stream at any gateway, until it has all events or has made too many attempts. */
  async function continueStream(story: StreamStory): Promise<void> {
    const attempts = (attemptsByStream.get(story.begunBy) ?? 1) + 1;
    attemptsByStream.set(story.begunBy, attempts);
    const gateway = gateways[Math.floor(versionRandom.next() * gateways.length)];
    if (gateway === undefined || attempts > MAX_ATTEMPTS) return;
    await sendOne(gateway, 'stream', undefined, story);
  }

  async function sendAll(until: number): Promise<void> {
    while (performance.now() < until) {
      const gateway = pick(gateways);
      const fatalName = random.next() < FATAL_SHARE ? 'all-along' : undefined;
      const route = fatalName === undefined ? undefined : 'any';
      if (gateway !== undefined) track(sendOne(gateway, route, fatalName).then(() => undefined));
      await pause(REQUEST_MS);
    }
  }

  /** Callers press while servers have few places, most of them with what may run once. */
  async function pressAll(until: number): Promise<void> {
    while (performance.now() < until) {
      const gateway = gateways[Math.floor(pressRandom.next() * gateways.length)];
      const other = pressRandom.next() < 0.5 ? 'any' : 'stream';
      const route = pressRandom.next() < PRESSED_ONCE_SHARE ? 'once' : other;
      if (gateway !== undefined && spans.arePressed())
        track(sendOne(gateway, route).then(() => undefined));
      await pause(PRESS_MS);
    }
  }

  async function drawSpans(until: number): Promise<void> {
    while (performance.now() < until) {
      spans.draw();
      await pause(SPAN_MS);
    }
    spans.end();
  }

  /** Waits for all work, and for what it leads to. */
  async function settle(): Promise<void> {
    const until = performance.now() + SETTLE_MS;
    while (pending.size > 0 && performance.now() < until) {
      await Promise.race([Promise.all(pending), pause(SETTLE_MS)]);
    }
    if (pending.size > 0) broken.push(`${pending.size} pieces of the run's own work did not end`);
  }

  function track(work: Promise<void>): void {
    pending.add(work);
    void work.finally(() => pending.delete(work));
  }

  async function causeAll(until: number): Promise<void> {
    while (performance.now() < until) {
      await cause();
      await pause(FAULT_MS);
    }
  }

  async function cutAll(until: number): Promise<void> {
    while (performance.now() < until) {
      track(
        cuts.cutFor(Math.floor(cutRandom.next() * cuts.paths.length), CUT_MS * cutRandom.next()),
      );
      await pause(CUT_MS);
    }
  }

  async function releaseAll(until: number): Promise<void> {
    while (performance.now() < until) {
      track(release());
      await pause(RELEASE_MS);
    }
  }

  async function askForLessAll(until: number): Promise<void> {
    while (performance.now() < until) {
      askForLess();
      if (askingRandom.next() < 0.5) refusingUntil = performance.now() + FAULT_MS * 4;
      await pause(FAULT_MS * 3);
    }
  }

  /** Waits until gateways that were told to stop have ended, which would disturb what follows. */
  async function stopsEnded(): Promise<void> {
    const until = performance.now() + SETTLE_MS;
    while (gateways.some((gateway) => gateway.isStopping()) && performance.now() < until) {
      await pause(50);
    }
  }

  /** Asks a gateway until it serves; false when it does not in time. */
  async function serves(gateway: GatewayProcess): Promise<boolean> {
    const until = performance.now() + SETTLE_MS;
    while (performance.now() < until) {
      gateway.start();
      if ((await sendOne(gateway)) === 200) return true;
      await pause(50);
    }
    return false;
  }

  async function close(): Promise<void> {
    await Promise.all(gateways.map((gateway) => gateway.end()));
    const parts = [...backends.flatMap(({ server, proxy }) => [server, proxy]), ...storeProxies];
    await Promise.all(parts.map((part) => part.close()));
    cuts.close();
    await store.close();
  }

  configure();
  for (const engineVersion of versions) {
    for (const role of ['prefill', 'decode', 'decode'] as const) {
      await addBackend('chat', role, engineVersion);
    }
  }
  for (let index = 0; index < 3; index += 1) {
    await addBackend('pages');
  }
  for (let index = 0; index < gatewayCount; index += 1) {
    const seenAddressOf = cuts.paths[index]?.addressOf ?? ((address: string) => address);
    const proxy = await startProxy(await store.view(seenAddressOf));
    storeProxies.push(proxy);
    const gateway = createGatewayProcess(index, proxy.address, terms.folder, program);
    gateways.push(gateway);
    gateway.start();
  }
  for (const gateway of gateways) {
    if (!(await serves(gateway))) broken.push(`${gateway.node} did not start to serve`);
  }
  const until = performance.now() + terms.seconds * 1_000;
  const restarts = setInterval(() => {
    for (const gateway of gateways) {
      gateway.start();
    }
  }, FAULT_MS);
  const works = [sendAll, causeAll, askForLessAll, cutAll, releaseAll, drawSpans, pressAll];
  for (const work of works) track(work(until));
  track(drawEdges({ gateways, random: edgeRandom, track }, until));
  await pause(terms.seconds * 1_000);
  await settle();
  await pause(FAULT_MS * 4);
  await stopsEnded();
  store.setFault('none');
  for (const gateway of gateways) {
    if (!(await serves(gateway))) broken.push(`${gateway.node} did not serve again`);
  }
  await pause(CONTACT_MS - IN_FORCE_MS);
  broken.push(
    ...(await judgeCalm({
      gateways,
      servers: backends,
      cuts,
      random: cutRandom,
      asking,
      fatal,
      requestIntervalMs: REQUEST_MS,
      sendOne,
      addServer: addBackend,
      announceLeaving(leaving) {
        register(leaving, 'draining');
      },
      breakStreams() {
        isBreakingStreams = true;
        held = [];
        Object.assign(streamCounts, { asked: 0, begun: 0, toContinue: 0, continued: 0 });
      },
      continueStreams() {
        isBreakingStreams = false;
        for (const story of held ?? []) track(continueStream(story));
        held = undefined;
      },
      async restart(killed) {
        for (const gateway of killed) gateway.signal('SIGKILL');
        await Promise.all(killed.map(serves));
      },
      streamCounts: () => streamCounts,
      changeRoutes() {
        configuration = renderConfiguration(version, 'changed');
        store.put('op', 'config', configuration);
      },
      track,
      settle,
    })),
  );
  clearInterval(restarts);
  await close();
  broken.push(...retries.judge());
  for (const gateway of gateways) broken.push(...gateway.unexplainedEnds());
  let succeeded = 0;
  for (const account of accounts.values()) {
    if (account.answer?.status === 200) succeeded += 1;
    broken.push(...judge(account).map((what) => `${account.id} (${account.path}) ${what}`));
  }
  for (const [attempt, story] of stories) {
    const found = judgeStory(story);
    if (found !== undefined) broken.push(`the stream of ${attempt} ${found}`);
  }
  return { requests: accounts.size, succeeded, faults, spans: spans.counts, broken };
}

function disturbStore(store: StoreStandIn, random: RandomSource): void {
  const faults = ['busy', 'silent', 'answers-lost'] as const;
  store.setFault(faults[Math.floor(random.next() * faults.length)] ?? 'busy');
  setTimeout(() => {
    store.setFault('none');
    store.compact();
  }, FAULT_MS * 2);
}
