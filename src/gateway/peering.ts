/**
 * What a gateway does with its peers' words: passes on routes and registry changes that a peer
 * lacks, takes in those that it lacks itself, and carries requests to and from schedulers.
 */
import { match } from 'ts-pattern';
import type { Fleet, HealthOutcome, RegistryChange } from '../fleet/index.js';
import type { Log } from '../events/index.js';
import { packChanges, unpackChanges } from './registry-changes.js';
import {
  createRoutesPacker,
  unpackRoutes,
  type Mesh,
  type Peer,
  type PeerMessage,
  type RoutesMessage,
} from '../peers/index.js';
import type { RoutingDocument, RoutingReplica } from '../routing/index.js';
import type { Decision, JobSubmitter, Job, Scheduler } from '../scheduling/index.js';

/** Who handles a peer's words. */
export interface PeeringParts {
  log: Log;
  mesh(): Mesh;
  routes: RoutingReplica;
  fleet: Fleet;
  submitter: JobSubmitter;
  scheduler(service: string): Scheduler;
  /** Whether this gateway brings peers that are behind up to date. */
  isFollower(): boolean;
  /** Whether this gateway passes on what it learns at once. */
  isAnnouncer(): boolean;
  /** Decodes routes that a peer passed on; `undefined` when they cannot be read. */
  parseRoutes(text: string): RoutingDocument | undefined;
}

/** Handles peers' words. */
export interface Peering {
  received: (peer: Peer, message: PeerMessage) => void;
  /** A peer was lost: what it had submitted here has ended. */
  lost: (node: string) => void;
  /** Passes on registry changes that were read from the store. */
  passChanges(changes: readonly RegistryChange[]): void;
  /** Passes on routes that were read from the store. */
  passRoutes(document: RoutingDocument): void;
}

/** How far behind a peer was at its last heartbeat. */
interface Lag {
  routes: number;
  fleet: number;
}

/**
 * Creates the handler.
 *
 * @param parts what the words change
 */
export function createPeering(parts: PeeringParts): Peering {
  const lags = new Map<string, Lag>();
  const pack = createRoutesPacker();
  /** Jobs that peers submitted here, with the service of each. */
  const submitted = new Map<string, Map<string, string>>();

  /** A peer that was already behind at its last word has not caught up by itself. */
  function help(node: string, beat: Lag): void {
    const before = lags.get(node);
    lags.set(node, { routes: parts.routes.version(), fleet: parts.fleet.revision() });
    if (before === undefined || !parts.isFollower()) return;
    const document = parts.routes.document();
    if (document !== undefined && beat.routes < before.routes) {
      parts.mesh().send(node, pack(document));
    }
    if (beat.fleet < before.fleet) {
      const changes = packChanges(parts.fleet.changesAfter(beat.fleet));
      if (changes.length > 0) parts.mesh().send(node, { kind: 'fleet', changes });
    }
  }

  function announce(message: PeerMessage): void {
    if (!parts.isAnnouncer()) return;
    for (const { introduction } of parts.mesh().peers()) {
      parts.mesh().send(introduction.node, message);
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
    if (document !== undefined) parts.routes.offer(document, 'peer');
  }

  function takeChanges(changes: readonly RegistryChange[]): void {
    for (const change of changes) {
      parts.fleet.learn(change, 'peer');
    }
  }

  function decide(node: string, id: string, decision: Decision): void {
    if (decision.kind === 'placed') {
      parts.mesh().send(node, { kind: 'job.placed', id, placement: decision.placement });
      return;
    }
    submitted.get(node)?.delete(id);
    const { reason, retryAfterMs, backlogMs } = decision;
    parts.mesh().send(node, { kind: 'job.declined', id, reason, retryAfterMs, backlogMs });
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
    if (!state.isDecided) parts.mesh().send(node, { kind: 'job.queued', id: job.id });
  }

  function finish(node: string, id: string, outcome?: HealthOutcome): void {
    const service = submitted.get(node)?.get(id);
    if (service === undefined) return;
    submitted.get(node)?.delete(id);
    parts.scheduler(service).finished(id, outcome);
  }

  function receive(peer: Peer, message: PeerMessage): void {
    const { node } = peer.introduction;
    match(message)
      .with({ kind: 'introduction' }, () => undefined)
      .with({ kind: 'beat' }, (beat) => {
        help(node, beat);
      })
      .with({ kind: 'routes' }, takeRoutes)
      .with({ kind: 'fleet' }, ({ changes }) => {
        takeChanges(unpackChanges(changes));
      })
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
      .with({ kind: 'job.queued' }, { kind: 'job.placed' }, { kind: 'job.declined' }, (answer) => {
        parts.submitter.answered(node, answer);
      })
      .exhaustive();
  }

  return {
    /** A message that cannot be handled is its sender's loss alone; it asks elsewhere. */
    received(peer, message) {
      try {
        receive(peer, message);
      } catch (error) {
        const { node } = peer.introduction;
        const { kind } = message;
        parts.log.write('decisionFailed', { step: kind, peer: node, reason: String(error) });
      }
    },
    lost(node) {
      lags.delete(node);
      for (const id of [...(submitted.get(node)?.keys() ?? [])]) {
        finish(node, id);
      }
      submitted.delete(node);
      parts.submitter.lost(node);
    },
    passChanges(changes) {
      if (changes.length > 0) announce({ kind: 'fleet', changes: packChanges(changes) });
    },
    passRoutes(document) {
      if (parts.isAnnouncer()) announce(pack(document));
    },
  };
}
