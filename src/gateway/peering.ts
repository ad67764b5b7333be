/**
 * What a gateway does with its peers' words: says which routes and registry changes it knows, gives
 * them to a peer that asks, asks for those that it lacks, and carries requests to and from schedulers.
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
import type { Clock, Timer } from '../task/index.js';
import { createCatchUp } from './catch-up.js';
import type { Followers } from './followers.js';
import { packChanges, unpackChanges } from './registry-changes.js';

/** Versions that come to be known within this time are announced together, in ms. */
const GATHER_MS = 10;

/** Who handles a peer's words. */
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
  followers: Pick<Followers, 'isLargeFleet' | 'mayRelyOnPeers'>;
  /** Decodes routes that a peer passed on; `undefined` when they cannot be read. */
  parseRoutes(text: string): RoutingDocument | undefined;
}

/** Handles peers' words. */
export interface Peering {
  received: (node: string, message: GatewayMessage) => void;
  /** A peer has said how far it knows the store. */
  versionsReceived: (node: string, versions: StoreVersions) => void;
  /** A peer was lost: what it had submitted here has ended. */
  lost: (node: string) => void;
  /** How far this gateway knows what the store holds. */
  versions: () => StoreVersions;
  /** Tells partners that newer routes or registry changes are known here. */
  announce(): void;
}

/**
 * Creates the handler.
 *
 * @param parts what the words change
 */
export function createPeering(parts: PeeringParts): Peering {
  const { clock, routes, fleet } = parts;
  const catchUp = createCatchUp();
  const pack = createRoutesPacker();
  /** Jobs that peers submitted here, with the service of each. */
  const submitted = new Map<string, Map<string, string>>();
  let announcement: Timer | undefined;

  function versions(): StoreVersions {
    return { routes: routes.version(), fleet: fleet.revision() };
  }

  function announce(): void {
    if (!parts.followers.isLargeFleet()) return;
    announcement ??= clock.after(GATHER_MS, () => {
      announcement = undefined;
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

  function give(node: string, { what, after }: PeerMessage & { kind: 'want' }): void {
    const document = routes.document();
    if (what === 'routes' && document !== undefined && document.table.version > after) {
      parts.overlay().send(node, pack(document));
    }
    if (what === 'fleet') {
      const changes = packChanges(fleet.changesAfter(after));
      parts.overlay().send(node, { kind: 'fleet', changes, revision: fleet.revision() });
    }
  }

  /** Several peers may send the same version; only the first is unpacked and read. */
  function takeRoutes(message: RoutesMessage): void {
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

  function takeChanges({ changes, revision }: PeerMessage & { kind: 'fleet' }): void {
    for (const change of unpackChanges(changes)) {
      fleet.learn(change, 'peer');
    }
    fleet.reach(revision);
    announce();
  }

  function decide(node: string, id: string, decision: Decision): void {
    if (decision.kind === 'placed') {
      parts.overlay().send(node, { kind: 'job.placed', id, placement: decision.placement });
      return;
    }
    submitted.get(node)?.delete(id);
    const { reason, retryAfterMs, backlogMs } = decision;
    parts.overlay().send(node, { kind: 'job.declined', id, reason, retryAfterMs, backlogMs });
  }

  /** Remembers which peer a job belongs to. */
  function note(node: string, job: Job): void {
    const jobs = submitted.get(node) ?? new Map<string, string>();
    submitted.set(node, jobs);
    jobs.set(job.id, job.service);
  }

  function submit(node: string, message: PeerMessage & { kind: 'job.submit' }): void {
    const { job } = message;
    note(node, job);
    const state = { isDecided: false };
    parts.scheduler(job.service).submit(job, (decision) => {
      state.isDecided = true;
      decide(node, job.id, decision);
    });
    if (!state.isDecided) parts.overlay().send(node, { kind: 'job.queued', id: job.id });
  }

  function finish(node: string, id: string, outcome?: HealthOutcome): void {
    const service = submitted.get(node)?.get(id);
    if (service === undefined) return;
    submitted.get(node)?.delete(id);
    parts.scheduler(service).finished(id, outcome);
  }

  function receive(node: string, message: GatewayMessage): void {
    match(message)
      .with({ kind: 'versions' }, (versions) => {
        versionsReceived(node, versions);
      })
      .with({ kind: 'want' }, (want) => {
        give(node, want);
      })
      .with({ kind: 'routes' }, takeRoutes)
      .with({ kind: 'fleet' }, takeChanges)
      .with({ kind: 'job.submit' }, (submission) => {
        submit(node, submission);
      })
      .with({ kind: 'job.adopt' }, ({ job, placement }) => {
        note(node, job);
        parts.scheduler(job.service).adopt(job, placement);
      })
      .with({ kind: 'job.read' }, ({ id }) => {
        const service = submitted.get(node)?.get(id);
        if (service !== undefined) parts.scheduler(service).promptRead(id);
      })
      .with({ kind: 'job.begun' }, ({ id }) => {
        const service = submitted.get(node)?.get(id);
        if (service !== undefined) parts.scheduler(service).begun(id);
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
        (told) => {
          parts.quarantine.received(node, told);
        },
      )
      .with(
        { kind: 'notices' },
        { kind: 'allowance.ask' },
        { kind: 'allowance.answer' },
        (told) => {
          parts.backpressure.received(node, told);
        },
      )
      .with({ kind: 'job.queued' }, { kind: 'job.placed' }, { kind: 'job.declined' }, (answer) => {
        parts.submitter.answered(node, answer);
      })
      .exhaustive();
  }

  return {
    /** A message that cannot be handled is its sender's loss alone; it asks elsewhere. */
    received(node, message) {
      try {
        receive(node, message);
      } catch (error) {
        const { kind } = message;
        parts.log.write('decisionFailed', { step: kind, peer: node, reason: String(error) });
      }
    },
    lost(node) {
      for (const id of [...(submitted.get(node)?.keys() ?? [])]) {
        finish(node, id);
      }
      submitted.delete(node);
      parts.submitter.lost(node);
      parts.quarantine.peerLost(node);
      parts.backpressure.peerLost(node);
    },
    versionsReceived,
    versions,
    announce,
  };
}
