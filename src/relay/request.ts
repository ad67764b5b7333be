/**
 * Serves a caller's request, from the choice of its route to the end of its answer. A request ends in
 * one of four ways: a server's answer, a refusal (it did not run and will not), a failure (it may
 * have run), or an abort (an answer that has begun cannot be completed).
 */
import type { Backpressure } from '../backpressure/index.js';
import {
  resolveServerName,
  type FleetHealth,
  type Fleet,
  type RegisteredServer,
} from '../fleet/index.js';
import type { Log } from '../events/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import { createFingerprint, type Ban, type Quarantine } from '../quarantine/index.js';
import type { Paths } from '../paths/index.js';
import type { RetryBudget } from '../retries/index.js';
import { chooseTarget, type Route, type RoutingReplica } from '../routing/index.js';
import type { OriginLookup, StreamOrigins } from '../streams/index.js';
import { wait, type Clock, type RandomSource } from '../task/index.js';
import { readOwnAnswer } from './answer-reader.js';
import type { CallerAnswer } from './caller-answer.js';
import type { Connections } from './connections.js';
import { createResponder } from './responder.js';
import { createEnginePlacer, type SchedulerClient } from './engine-placer.js';
import { startExchange, type OutgoingRequest } from './exchange.js';
import { improperStatuses, type Ending } from './final-answer.js';
import { hasReachedServer, resolveHealthOutcome, type ExchangeOutcome } from './health-outcome.js';
import {
  isContinuable,
  isRepeatable,
  resolveNextStep,
  type NextStep,
  type Progress,
} from './next-step.js';
import type { PlacedServer, Placer, PlacementContext } from './placer.js';
import type { BackendProtocol, CallerHead, SendTerms } from './protocol.js';
import { releasePrompt } from './release-prompt.js';
import { createRequestRetries } from './request-retries.js';
import { OVER_REASON, sendOnce, type SendOutcome } from './send.js';
import { createServerGate } from './server-gate.js';
import { createServicePlacer, type ServerLoads } from './service-placer.js';
import { createStreamVersion, findOrigin, resolveOrigin } from './stream-version.js';
import { createTimeLimit } from './time-limit.js';
import type { CallerRetries } from './caller-retries.js';

/** Retry-After while there is no configuration yet, in ms. */
const NOT_READY_RETRY_MS = 300;

/** Answer timeout of a repeatable request, as a multiple of the route's latency objective: by then it is
 * late, and a server that works would have answered. */
const ANSWER_TIMEOUT_FACTOR = 3;
/** Lower bound of the answer timeout, in ms. */
const MIN_ANSWER_TIMEOUT_MS = 400;

/** How long a request waits, after a lost answer, for the probe that shows whether its server has
 * crashed, in ms: a request that crashes servers must not be sent to the next one before that is known. */
const CRASH_PROBE_WAIT_MS = 20;

/** Retry-After while the same request is on trial at another server, in ms. */
const TRIAL_RETRY_MS = 300;

/** Why a request ends without a retry that the route would allow. */
const SPENT_REASON = 'the retry budget is spent';

/** The outcome of a send that could not be paid for. */
const unpaid: SendOutcome = { kind: 'unpaid', reason: SPENT_REASON };

/** What all requests of a gateway share. */
export interface RelayParts {
  clock: Clock;
  random: RandomSource;
  log: Log;
  metrics: GatewayMetrics;
  /** The gateway's availability zone. */
  zone: string;
  protocol: BackendProtocol;
  routes: RoutingReplica;
  fleet: Fleet;
  health: FleetHealth;
  loads: ServerLoads;
  callerRetries: CallerRetries;
  connections: Connections;
  paths: Paths;
  budget: RetryBudget;
  quarantine: Quarantine;
  backpressure: Backpressure;
  scheduler: SchedulerClient;
  streams: StreamOrigins;
  /**
   * Whether this gateway will run long enough to finish a request.
   *
   * @param leftMs what is left of the request's time limit, in milliseconds
   */
  canFinish(leftMs: number): boolean;
}

/** A complete request of a caller. */
export interface CallerRequest {
  method: string;
  path: string;
  head: CallerHead;
  body: Buffer | undefined;
  /** When its head arrived, which may be long before it was read, in ms on the gateway's clock. */
  arrivedAt: number;
  answer: CallerAnswer;
  /** Aborted, with the cause as its reason, when the request is to end before its server and its time limit end it. */
  ended: AbortSignal;
}

/** Why a request is ended from outside: its caller has closed the connection, or the gateway is about to end. */
export type RequestEnd = 'caller-left' | 'stopping';

/**
 * Serves a request.
 *
 * @param parts what all requests share
 * @param callerRequest the request
 */
export async function serveRequest(parts: RelayParts, callerRequest: CallerRequest): Promise<void> {
  const { head, answer } = callerRequest;
  const index = parts.routes.index();
  if (index === undefined) {
    parts.metrics.refusals.inc({ reason: 'no-configuration' });
    parts.log.write('requestRefused', { request: head.requestId, reason: 'no-configuration' });
    answer.end({
      reason: 'the routing configuration has not been loaded yet',
      retryAfterMs: NOT_READY_RETRY_MS,
    });
    return;
  }
  const route = index.find(head.host, callerRequest.path);
  const service = route === undefined ? undefined : chooseTarget(route, parts.random.next());
  if (route === undefined || service === undefined) {
    const { version } = index.table;
    parts.metrics.refusals.inc({ reason: 'no-route' });
    parts.log.write('requestRefused', { request: head.requestId, reason: 'no-route', version });
    answer.reject(improperStatuses.notFound, 'no route matches this host and path');
    return;
  }
  const lookup = await findOrigin(parts.streams, route, head);
  const servedBy = resolveOrigin(lookup)?.service ?? service;
  const request = createRequest(parts, callerRequest, route, servedBy, lookup);
  try {
    await request.serve();
  } finally {
    request.close();
  }
}

function createRequest(
  parts: RelayParts,
  callerRequest: CallerRequest,
  route: Route,
  service: string,
  /** Where the stream began that the request continues. */
  lookup: OriginLookup | undefined,
) {
  const { clock, log, metrics, protocol } = parts;
  const { head, answer, arrivedAt } = callerRequest;
  const requestId = head.requestId;
  const limitMs = Math.min(route.timeoutMs, head.waitMs ?? route.timeoutMs);
  const limit = createTimeLimit(clock, arrivedAt, limitMs);
  const engineTerms = parts.routes.index()?.table.services.get(service)?.engine;
  /** The prompt, if engines serve the request; a scheduler then places it. */
  const prompt = engineTerms === undefined ? undefined : head.prompt;
  const { method, path, body } = callerRequest;
  const fingerprint = createFingerprint({ method, host: head.host, path, body });
  const progress: Progress = {
    attempts: 0,
    unsent: 0,
    isBegun: false,
  };
  let lastEventId: string | undefined;
  /** Set once the request is banned from all servers. */
  let ban: Ban | undefined;
  /** Ids of the prompt's parts that other requests may share; the last one is the request's own. */
  const sharedParts = head.prompt?.parts.slice(0, -1).map(({ id }) => id) ?? [];
  const watched = parts.quarantine.watch({ fingerprint, service, sharedParts }, stopBanned);

  const { end, passOnFailure, recordOutcome } = createResponder({
    parts,
    callerRequest,
    service,
    mayRepeat: isRepeatable(route),
    progress,
    ban: () => ban,
  });

  const retries = createRequestRetries({ ...parts, service, requestId });

  const streamVersion = createStreamVersion({
    log,
    origins: parts.streams,
    fleet: parts.fleet,
    head,
    route,
    service,
    lookup,
  });

  const gate = createServerGate({
    fleet: parts.fleet,
    backpressure: parts.backpressure,
    service,
    streamVersion,
  });

  const context: PlacementContext = {
    clock,
    protocol,
    requestId,
    service,
    rank: route.rank,
    maxEventGapMs: route.maxEventGapMs,
    isCallerRetry: lookup !== undefined || parts.callerRetries.isRetry(route.name, head.waitMs),
    signal: limit.signal,
    elapsedMs: limit.elapsedMs,
    aimLeftMs: () => route.latencyObjectiveMs - limit.elapsedMs(),
    timeLeftMs: limit.leftMs,
    find: (id) => parts.fleet.find(id),
    requiredVersion: () => streamVersion.required()?.version,
    withholdReason: gate.withholdReason,
    pausedServers: () => parts.backpressure.paused(),
    msUntilResumed: gate.msUntilResumed,
    avoidedServers() {
      const servers = [...watched.serversToAvoid()];
      for (const { id } of parts.fleet.available(service)) {
        if (!parts.health.isUsable(id)) servers.push(id);
      }
      return servers;
    },
    start: (server, terms, receiver) =>
      startExchange(
        createOutgoing(server, terms, () => true),
        parts.connections.agentFor(server.id),
        clock,
        receiver,
      ),
    watchSend: watched.sent,
    countAttempt() {
      progress.attempts += 1;
    },
    mayRetry: (reason) => progress.attempts < route.maxAttempts && retries.pay(reason),
    renewPermits: retries.renew,
    release(prompt, server) {
      releasePrompt({ ...parts, gate, requestId }, prompt, server);
    },
    prefillEnded(server, outcome) {
      if (hasReachedServer(outcome.kind)) retries.arrived({ isPrefilled: outcome.kind === 'read' });
      if (outcome.kind === 'withheld') metrics.withheld.inc({ reason: outcome.reason });
      log.write('promptRead', {
        request: requestId,
        server: server.id,
        outcome: outcome.kind,
        fingerprint: outcome.kind === 'lost' ? fingerprint.full() : undefined,
        parts: outcome.kind === 'lost' ? sharedParts : undefined,
        reason: 'reason' in outcome ? outcome.reason : undefined,
        status: 'status' in outcome ? outcome.status : undefined,
        ms: Math.round(limit.elapsedMs()),
      });
    },
    headReceived: gate.headReceived,
    recordHealth,
  };

  function createOutgoing(
    server: RegisteredServer,
    terms: Omit<SendTerms, 'serverId' | 'timeLeftMs'>,
    mayAbandon: () => boolean,
  ): OutgoingRequest {
    const sendTerms = {
      ...terms,
      serverId: resolveServerName(server),
      timeLeftMs: limit.leftMs(),
    };
    return {
      address: server.address,
      method,
      path,
      rawHeaders: protocol.sendHeaders(head, sendTerms, body?.length ?? 0),
      body,
      readAnswer: (answerHead) => readOwnAnswer(parts, requestId, server, answerHead),
      restAbandoned(reason) {
        log.write('answerRestAbandoned', { request: requestId, server: server.id, reason });
      },
      withholdReason: () => withholdOver() ?? withholdBanned() ?? gate.withholdReason(server),
      watchPath(abandon) {
        recordSent(server);
        return parts.paths.watch(server, () => {
          if (mayAbandon()) abandon();
        });
      },
    };
  }

  /** Records how old the request is as it is written to a server. */
  function recordSent(server: RegisteredServer): void {
    const ageMs = limit.elapsedMs();
    metrics.sendDelay.observe(ageMs / 1_000);
    if (limit.leftMs() > 0) return;
    log.write('requestSentLate', {
      request: requestId,
      server: server.id,
      ms: Math.round(ageMs),
      limitMs,
    });
  }

  function recordHealth(
    server: RegisteredServer,
    exchangeOutcome: ExchangeOutcome,
    isOtherServer: boolean,
  ): void {
    if (isOtherServer) parts.fleet.retire(server.id, 'another incarnation has its address');
    const outcome = resolveHealthOutcome(exchangeOutcome);
    if (outcome !== undefined) parts.health.record(server.id, outcome);
  }

  function createPlacer(): Placer {
    if (prompt !== undefined) return createEnginePlacer(context, prompt, parts.scheduler);
    return createServicePlacer(() => ({
      servers: streamVersion.listAllowed(parts.fleet.available(service)),
      zone: parts.zone,
      health: parts.health,
      loads: parts.loads,
      avoided: watched.serversToAvoid(),
      random: parts.random,
      isUrgent: route.rank === 0,
      backpressure: parts.backpressure,
    }));
  }

  async function send(placed: PlacedServer, placer: Placer): Promise<SendOutcome> {
    const watchedSend = watched.sent(placed.server);
    answer.run.sendStarted();
    const outcome = await sendTo(placed, placer);
    answer.run.sendEnded(outcome.kind);
    if (outcome.kind === 'lost')
      await Promise.race([watchedSend.lost(), wait(clock, CRASH_PROBE_WAIT_MS)]);
    if (outcome.kind === 'finished') watched.succeeded();
    return outcome;
  }

  async function sendTo(placed: PlacedServer, placer: Placer): Promise<SendOutcome> {
    const { server, source, urgency } = placed;
    const stream = streamVersion.sentTo(server);
    log.write('requestSent', {
      request: requestId,
      server: server.id,
      version: server.version,
      attempt: progress.attempts,
      ms: Math.round(limit.elapsedMs()),
      resumes: head.resumes,
      afterEvent: lastEventId ?? head.lastEventId,
    });
    const outcome = await sendOnce(
      {
        request: createOutgoing(server, { source, urgency, lastEventId }, mayContinueElsewhere),
        server,
        agent: parts.connections.agentFor(server.id),
        answer,
        isStream: route.isStream,
        isContinuable: isContinuable(route),
        isContinuation: progress.isBegun,
        mayForwardEvent: () => stream.mayForwardEvent(),
        signal: limit.signal,
        answerTimeoutMs: resolveAnswerTimeout(),
        mayTryAnother: () => parts.budget.hasLeft(service),
        eventForwarded(eventId) {
          lastEventId = eventId ?? lastEventId;
        },
        answerBegun() {
          placer.answerBegun();
          if (progress.isBegun) return;
          progress.isBegun = true;
          stream.begun();
          metrics.firstByte.observe({ service }, limit.elapsedMs() / 1_000);
        },
        loadReceived(load) {
          parts.loads.record(server.id, load);
        },
        headReceived(head, facts) {
          gate.headReceived(server, head, facts);
        },
      },
      clock,
    );
    stream.ended();
    return outcome;
  }

  /** Whether a send whose path is lost may be made again at another server. The others are left as they are: their
   * answers still arrive if the path comes back in time. */
  function mayContinueElsewhere(): boolean {
    const isLast = progress.attempts + 1 >= route.maxAttempts;
    if (isLast || !isRepeatable(route) || !parts.budget.hasLeft(service)) return false;
    return !progress.isBegun || route.isStream;
  }

  /** Time within which a server has to begin its answer before another is tried, in ms. */
  function resolveAnswerTimeout(): number | undefined {
    const isLast = progress.attempts + 1 >= route.maxAttempts;
    // requests may queue at a busy engine; its scheduler detects engines that do not answer
    if (isLast || prompt !== undefined || !isRepeatable(route)) return undefined;
    const timeoutMs = Math.max(
      MIN_ANSWER_TIMEOUT_MS,
      ANSWER_TIMEOUT_FACTOR * route.latencyObjectiveMs,
    );
    return limit.leftMs() - timeoutMs > route.latencyObjectiveMs ? timeoutMs : undefined;
  }

  /** Updates the request's progress after a send. */
  function updateProgress(outcome: SendOutcome): void {
    if (outcome.kind === 'withheld') metrics.withheld.inc({ reason: outcome.reason });
    if (outcome.kind === 'unsent') progress.unsent += 1;
    if (!hasReachedServer(outcome.kind)) return;
    progress.attempts += 1;
    retries.arrived({ isPrefilled: false });
  }

  /** Makes one send; returns whether another is to follow. */
  async function attempt(placer: Placer): Promise<boolean> {
    if (stopIfBanned()) return false;
    if (limit.isOver()) {
      stop();
      return false;
    }
    const admission = await watched.admit(limit.signal);
    if (admission === 'busy') end({ reason: 'on-trial', retryAfterMs: TRIAL_RETRY_MS });
    if (admission === 'aborted') stop();
    if (admission !== 'admitted') return false;
    const placed = await placer.place();
    if (placed.kind === 'aborted') {
      stop();
      return false;
    }
    if (placed.kind === 'refused') {
      end(placed);
      return false;
    }
    const outcome = retries.renew() ? await send(placed, placer) : unpaid;
    updateProgress(outcome);
    placer.sendEnded(placed, outcome);
    recordHealth(placed.server, outcome.kind, outcome.kind === 'declined' && outcome.isOtherServer);
    const step = resolveNextStep(outcome, route, progress);
    log.write('sendEnded', {
      request: requestId,
      server: placed.server.id,
      outcome: outcome.kind,
      fingerprint: outcome.kind === 'lost' ? fingerprint.full() : undefined,
      parts: outcome.kind === 'lost' ? sharedParts : undefined,
      reason: 'reason' in outcome ? outcome.reason : undefined,
      status: 'head' in outcome ? outcome.head.status : undefined,
      isSigned: 'facts' in outcome ? outcome.facts.isSigned : undefined,
      move: step.kind,
      ms: Math.round(limit.elapsedMs()),
    });
    return take(step, outcome);
  }

  /** Its timer and the end of its caller's connection may wait for a turn of a busy event loop, behind the send. */
  function withholdOver(): string | undefined {
    return limit.isOver() ? OVER_REASON : undefined;
  }

  /** The request, or a part of its prompt, may have been banned while it was placed or its prompt was prefilled. */
  function withholdBanned(): string | undefined {
    return watched.ban() === undefined ? undefined : 'ends-servers';
  }

  function stopIfBanned(): boolean {
    ban = watched.ban();
    if (ban !== undefined) stop();
    return ban !== undefined;
  }

  function take(step: NextStep, outcome: SendOutcome): boolean {
    if (step.kind === 'again') {
      if (!step.costs || retries.pay(step.reason)) return true;
      endWithoutRetry(outcome, SPENT_REASON);
      return false;
    }
    if (step.kind === 'pass-failure' && outcome.kind === 'failed') passOnFailure(outcome);
    if (step.kind === 'end') end({ reason: step.reason, retryAfterMs: DECLINED_RETRY_MS });
    if (step.kind === 'stop') stop();
    if (step.kind === 'done') recordOutcome('finished');
    return false;
  }

  function endWithoutRetry(outcome: SendOutcome, reason: string): void {
    if (outcome.kind === 'failed' && !progress.isBegun) passOnFailure(outcome);
    else end({ reason, retryAfterMs: DECLINED_RETRY_MS });
  }

  /** Aborts a request that has just been banned, unless an answer has begun: a complete answer would
   * clear the request. */
  function stopBanned(): void {
    if (progress.isBegun) return;
    ban = watched.ban();
    if (ban !== undefined) limit.end();
  }

  /** Ends a request that is banned, has reached its time limit, or was ended from outside. */
  function stop(): void {
    if (ban !== undefined) {
      end({ reason: 'ends-servers', retryAfterMs: ban.leftMs });
      return;
    }
    const cause = callerRequest.ended.reason as RequestEnd | undefined;
    if (!limit.isReached() && cause === 'stopping') {
      end(stoppingEnding);
      return;
    }
    if (!limit.isReached()) {
      log.write('callerLeft', { request: requestId, ms: Math.round(limit.elapsedMs()) });
      recordOutcome('caller-left');
      return;
    }
    end(timeLimitEnding);
  }

  return {
    close: watched.ended,
    async serve(): Promise<void> {
      if (stopIfBanned()) return;
      if (!parts.canFinish(limit.leftMs())) {
        end(stoppingEnding);
        return;
      }
      if (limit.isOver()) {
        end(timeLimitEnding);
        return;
      }
      const refusal = streamVersion.findRefusal(parts.fleet.available(service));
      if (refusal !== undefined) {
        end(refusal);
        return;
      }
      parts.budget.requestReceived(service);
      const timer = limit.start();
      const placer = createPlacer();
      callerRequest.ended.addEventListener('abort', limit.end);
      if (callerRequest.ended.aborted) limit.end();
      try {
        while (await attempt(placer)) {
          // each iteration makes one send
        }
      } finally {
        timer.cancel();
        callerRequest.ended.removeEventListener('abort', limit.end);
        placer.close();
        retries.close();
      }
    },
  };
}

/** Retry-After while this gateway is stopping, in ms; short, since callers retry at another gateway. */
const STOPPING_RETRY_MS = 30;
/** Retry-After when servers declined or could not be reached, in ms. */
const DECLINED_RETRY_MS = 150;

/** The end of a request that this gateway cannot finish before it ends itself. */
const stoppingEnding: Ending = { reason: 'stopping', retryAfterMs: STOPPING_RETRY_MS };

/** The end of a request whose time limit has passed. */
const timeLimitEnding: Ending = {
  reason: 'time limit',
  retryAfterMs: DECLINED_RETRY_MS,
  isTimeLimit: true,
};
