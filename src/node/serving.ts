/**
 * The way of callers' requests through a node: its front for callers, the runners behind it, the limits
 * of teams, and the claims of calls that may run only once.
 */
import { createCallerFront, type CallerFront, type Readiness } from '../caller/index.js';
import { createClaims, createClaimSweep, createBatchWriter } from '../claims/index.js';
import type { ConfigurationReplica } from '../configuration/index.js';
import type { Log } from '../events/index.js';
import type { LeaseMonitor } from '../lease/index.js';
import {
  createTeamLimiter,
  createLimitHome,
  limitCompletions,
  limitServiceCalls,
  type LimitHome,
} from '../limits/index.js';
import type { LimitAllowance, LimitDraw } from '../links/index.js';
import { resolveEntryPoints, type Membership } from '../membership/index.js';
import type { Metrics } from '../metrics/index.js';
import { createOutputEstimate } from '../permits/index.js';
import {
  createCompletionRunner,
  createRetries,
  createRetryBudget,
  createServiceCallRunner,
  type Backends,
  type RequestStatuses,
  type Placement,
} from '../router/index.js';
import type { Settings } from '../settings/index.js';
import { rankNodes } from '../shards/index.js';
import type { NodeEnvironment, Platform } from './environment.js';
import { createRequestId, type PeerQuestions } from './peer-questions.js';

/** How long a stop waits for outcomes that could not be stored at once, in ms. */
const CLAIMS_GRACE_MS = 10_000;

/** What serving needs. */
export interface ServingParts {
  node: string;
  incarnation: string;
  settings: Settings;
  environment: NodeEnvironment;
  platform: Platform;
  log: Log;
  metrics: Metrics;
  placement: Placement;
  backends: Backends;
  replica: ConfigurationReplica;
  membership: Membership;
  leaseMonitor: LeaseMonitor;
  questions: PeerQuestions;
  requestStatuses: RequestStatuses;
  readiness: () => Readiness;
  /** Hears of each request that begins (1) or ends (-1). */
  track: (change: number) => void;
}

/** Serves a node's callers. */
export interface Serving {
  callerFront: CallerFront;
  limitHome: LimitHome;
  start(): void;
  /** Settles what runs under claims; returns once their outcomes are stored, or after a grace period. */
  stop(): Promise<void>;
  /** Ends what goes on in the background. */
  close(): void;
}

/**
 * Creates the parts that serve callers.
 *
 * @param parts where requests find places, and the node's own means
 */
export function createServing(parts: ServingParts): Serving {
  const { node, incarnation, settings, environment, platform, log, metrics } = parts;
  const { placement, backends, replica, membership, leaseMonitor, questions, requestStatuses } =
    parts;
  const { clock, random, createId } = environment;

  const limitHome = createLimitHome({
    clock,
    limitsOf: (team) => replica.current().teams.get(team)?.limits,
  });
  const teamLimiter = createTeamLimiter({
    node,
    clock,
    draw: drawLimits,
    aliveCount: () => membership.aliveNames().length,
  });

  const budget = createRetryBudget(settings.requests.retryShare);
  const { maxAttempts } = settings.requests;
  const retries = createRetries({ node, clock, random, budget, metrics, maxAttempts });
  const routing = { node, clock, log, metrics, placement, backends, budget, retries };
  const estimate = createOutputEstimate();
  const runner = createCompletionRunner({ ...routing, estimate });
  const completions = limitCompletions(runner, teamLimiter);
  const callRunner = createServiceCallRunner(routing);
  const services = limitServiceCalls(callRunner, teamLimiter);

  const claims = createClaims({
    table: platform.table('claims'),
    objectStore: platform.objectStore,
    writer: createBatchWriter({
      table: platform.table('claims'),
      clock,
      gatherMs: settings.claims.gatherMs,
      maxPerTransaction: settings.claims.maxPerTransaction,
    }),
    clock,
    log,
    metrics,
    node,
    incarnation,
    maxInlineBytes: settings.claims.maxInlineBytes,
    createId,
    wallClock: environment.wallClock,
    hasLeaseEnded: async (claimer, claimerIncarnation) => {
      const row = await leaseMonitor.read(claimer);
      if (row === undefined) return false;
      return row.state !== 'held' || row.holder.incarnation !== claimerIncarnation;
    },
  });

  const claimSweep = createClaimSweep({
    table: platform.table('claims'),
    objectStore: platform.objectStore,
    clock,
    metrics,
    node,
    retentionMs: settings.claims.retentionMs,
    sweepPerSecond: settings.claims.sweepPerSecond,
    aliveNodes: () => membership.aliveNames(),
    wallClock: environment.wallClock,
  });

  const callerFront = createCallerFront({
    node,
    clock,
    log,
    metrics,
    terms: settings.requests,
    replica,
    completions,
    services,
    claims,
    requestStatuses,
    createRequestId: () => createRequestId(node, createId()),
    readiness: parts.readiness,
    entryPoints: (callerZone) =>
      resolveEntryPoints(
        membership.alive(),
        callerZone,
        settings.membership.entryPointsKeptMs,
        random,
      ),
    findRequestStatus: questions.findRequestStatus,
    track: parts.track,
  });

  async function drawLimits(draw: LimitDraw): Promise<LimitAllowance | undefined> {
    const [home = node] = rankNodes(draw.team, membership.aliveNames());
    return home === node ? limitHome.draw(node, draw) : questions.drawLimits(home, draw);
  }

  return {
    callerFront,
    limitHome,
    start() {
      claimSweep.start();
    },
    async stop() {
      claimSweep.stop();
      await claims.stop(CLAIMS_GRACE_MS);
    },
    close() {
      teamLimiter.stop();
    },
  };
}
