/**
 * Handles messages from peers: exchanges routes and registry changes, relays jobs between submitters and
 * schedulers, and passes messages on to the quarantine and to backpressure.
 */
import { match } from 'ts-pattern';
import type { Backpressure } from '../backpressure/index.js';
import type { Log } from '../events/index.js';
import type { Fleet, HealthOutcome } from '../fleet/index.js';
import {
  createRoutesPacker,
  unpackRoutes,
  type Overlay,
  type GatewayMessage,
  type PeerMessage,
  type RoutesMessage,
  type StoreVersions,
} from '../peers/index.js';
import type { RoutingDocument, RoutingReplica } from '../routing/index.js';
import type { Quarantine } from '../quarantine/index.js';
import type { Decision, JobSubmitter, Job, Scheduler } from '../scheduling/index.js';
import type { StreamOrigins } from '../streams/index.js';
import type { Clock, Timer } from '../task/index.js';
import { createCatchUp } from './catch-up.js';
import type { Followers } from './followers.js';
import { packChanges, unpackChanges } from './registry-changes.js';

/** Delay of an announcement, in ms. Versions that change within it are announced in one message. */
const BATCH_MS = 10;

/** Dependencies of the message handler. */
export interface PeeringParts {
  clock: Clock;
  log: Log;
  overlay(): Pick<Overlay, 'send' | 'broadcast'>;
  routes: RoutingReplica;
  fleet: Fleet;
  submitter: JobSubmitter;
  scheduler(service: string): Scheduler;
  quarantine: Pick<Quarantine, 'received' | 'peerLost'>;
  backpressure: Pick<Backpressure, 'received' | 'peerLost'>;
  streams: Pick<StreamOrigins, 'received'>;
  followers: Pick<Followers, 'isLargeFleet' | 'mayRelyOnPeers'>;
  /** Decodes routes relayed by a peer; `undefined` if they are invalid. */
  parseRoutes(text: string): RoutingDocument | undefined;
}

/** Handles messages from peers. */
export interface Peering {
  received: (node: string, message: GatewayMessage) => void;
  /** Handles the versions of the store's contents that a peer has. */
  versionsReceived: (node: string, versions: StoreVersions) => void;
  /** Handles the loss of a peer: finishes the jobs that it submitted here. */
  lost: (node: string) => void;
  /** Versions of the store's contents that this gateway has. */
  versions: () => StoreVersions;
  /** Announces the versions to partners shortly after; does nothing in a small fleet. */
  announce(): void;
}

/**
 * Creates the handler.
 *
 * @param parts dependencies of the handler
 */
export function createPeering(parts: PeeringParts): Peering {
  const { clock, routes, fleet } = parts;
  const catchUp = createCatchUp();
  const pack = createRoutesPacker();
  /** Jobs that peers submitted here: the service of each job id, by peer. */
  const jobsByPeer = new Map<string, Map<string, string>>();
  let announceTimer: Timer | undefined;

  function versions(): StoreVersions {
    return { routes: routes.version(), fleet: fleet.revision() };
  }

  function announce(): void {
    if (!parts.followers.isLargeFleet()) return;
    announceTimer ??= clock.after(BATCH_MS, () => {
      announceTimer = undefined;
      parts.overlay().broadcast({ kind: 'versions', ...versions() });
    });
  }

  function versionsReceived(node: string, theirs: StoreVersions): void {
    const reliesOnPeers = parts.followers.mayRelyOnPeers();
    const progress = { now: clock.now(), theirs, own: versions(), reliesOnPeers };
    for (const what of catchUp.chooseParts(progress)) {
      parts.overlay().send(node, { kind: 'want', what, after: progress.own[what] });
    }
  }

  function sendRequested(node: string, { what, after }: PeerMessage & { kind: 'want' }): void {
    const document = routes.document();
    if (what === 'routes' && document !== undefined && document.table.version > after) {
      parts.overlay().send(node, pack(document));
    }
    if (what === 'fleet') {
      const changes = packChanges(fleet.changesAfter(after));
      parts.overlay().send(node, { kind: 'fleet', changes, revision: fleet.revision() });
    }
  }

  /** Applies routes from a peer. Versions that are not newer are dropped before they are decompressed. */
  function applyRoutes(message: RoutesMessage): void {
    if (message.version <= parts.routes.version()) return;
    const text = unpackRoutes(message);
    if (text.isErr()) {
      parts.log.write('routesUnreadable', { version: message.version, issues: text.error });
      return;
    }
    const document = parts.parseRoutes(text.value);
    if (document === undefined) return;
    parts.routes.offer(document, 'peer');
    announce();
  }

  function applyChanges({ changes, revision }: PeerMessage & { kind: 'fleet' }): void {
    for (const change of unpackChanges(changes)) {
      fleet.learn(change, 'peer');
    }
    fleet.reach(revision);
    announce();
  }

  function sendDecision(node: string, id: string, decision: Decision): void {
    if (decision.kind === 'placed') {
      parts.overlay().send(node, { kind: 'job.placed', id, placement: decision.placement });
      return;
    }
    jobsByPeer.get(node)?.delete(id);
    const { reason, retryAfterMs, backlogMs } = decision;
    parts.overlay().send(node, { kind: 'job.declined', id, reason, retryAfterMs, backlogMs });
  }

  function trackJob(node: string, job: Job): void {
    const jobs = jobsByPeer.get(node) ?? new Map<string, string>();
    jobsByPeer.set(node, jobs);
    jobs.set(job.id, job.service);
  }

  function submit(node: string, message: PeerMessage & { kind: 'job.submit' }): void {
    const { job } = message;
    trackJob(node, job);
    const state = { isDecided: false };
    parts.scheduler(job.service).submit(job, (decision) => {
      state.isDecided = true;
      sendDecision(node, job.id, decision);
    });
    if (!state.isDecided) parts.overlay().send(node, { kind: 'job.queued', id: job.id });
  }

  function finish(node: string, id: string, outcome?: HealthOutcome): void {
    const service = jobsByPeer.get(node)?.get(id);
    if (service === undefined) return;
    jobsByPeer.get(node)?.delete(id);
    parts.scheduler(service).finished(id, outcome);
  }

  function receive(node: string, message: GatewayMessage): void {
    match(message)
      .with({ kind: 'versions' }, (theirs) => {
        versionsReceived(node, theirs);
      })
      .with({ kind: 'want' }, (want) => {
        sendRequested(node, want);
      })
      .with({ kind: 'routes' }, applyRoutes)
      .with({ kind: 'fleet' }, applyChanges)
      .with({ kind: 'job.submit' }, (submission) => {
        submit(node, submission);
      })
      .with({ kind: 'job.adopt' }, ({ job, placement }) => {
        trackJob(node, job);
        parts.scheduler(job.service).adopt(job, placement);
      })
      .with({ kind: 'job.read' }, ({ id }) => {
        const service = jobsByPeer.get(node)?.get(id);
        if (service !== undefined) parts.scheduler(service).prefillCompleted(id);
      })
      .with({ kind: 'job.begun' }, ({ id }) => {
        const service = jobsByPeer.get(node)?.get(id);
        if (service !== undefined) parts.scheduler(service).firstTokenReceived(id);
      })
      .with({ kind: 'job.finished' }, ({ id, outcome }) => {
        finish(node, id, outcome);
      })
      .with(
        { kind: 'crashes' },
        { kind: 'trial.ask' },
        { kind: 'trial.queued' },
        { kind: 'trial.granted' },
        { kind: 'trial.placed' },
        { kind: 'trial.ended' },
        (quarantineMessage) => {
          parts.quarantine.received(node, quarantineMessage);
        },
      )
      .with(
        { kind: 'notices' },
        { kind: 'allowance.ask' },
        { kind: 'allowance.answer' },
        (backpressureMessage) => {
          parts.backpressure.received(node, backpressureMessage);
        },
      )
      .with(
        { kind: 'origin.record' },
        { kind: 'origin.query' },
        { kind: 'origin.response' },
        (originMessage) => {
          parts.streams.received(node, originMessage);
        },
      )
      .with({ kind: 'job.queued' }, { kind: 'job.placed' }, { kind: 'job.declined' }, (answer) => {
        parts.submitter.answerReceived(node, answer);
      })
      .exhaustive();
  }

  return {
    /**
     * Logs an exception of one message's handler, so that it does not affect other messages. The peer
     * retries elsewhere.
     */
    received(node, message) {
      try {
        receive(node, message);
      } catch (error) {
        const { kind } = message;
        parts.log.write('decisionFailed', { step: kind, peer: node, reason: String(error) });
      }
    },
    lost(node) {
      for (const id of [...(jobsByPeer.get(node)?.keys() ?? [])]) {
        finish(node, id);
      }
      jobsByPeer.delete(node);
      parts.submitter.peerLost(node);
      parts.quarantine.peerLost(node);
      parts.backpressure.peerLost(node);
    },
    versionsReceived,
    versions,
    announce,
  };
}
