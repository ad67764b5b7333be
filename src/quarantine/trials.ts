/**
 * Requests trials of suspected requests, that is, of requests under which a server has crashed, from the gateway that
 * coordinates their service. Also coordinates the trials of the services assigned to this gateway. Trials are best
 * effort: if the coordinator does not answer, the request runs without waiting.
 */
import { match } from 'ts-pattern';
import * as z from 'zod';
import type { Log } from '../events/index.js';
import type { Clock, Timer } from '../task/index.js';
import { crashRowSchema, type CrashRow } from './messages.js';
import { createTrialCoordinator, type TrialRequest } from './trial-coordinator.js';

/** Timeout of the coordinator's answer, in ms. */
const COORDINATOR_TIMEOUT_MS = 60;
/** How long a request is queued behind another trial of the same request, in ms; after that its caller is told to
 * retry. */
const MAX_QUEUED_MS = 500;

const idField = { id: z.string() };
/** Current records of the request, which the receiver may not have yet. */
const knownField = { known: z.array(crashRowSchema) };

export const trialMessageSchemas = [
  z.object({
    kind: z.literal('trial.ask'),
    ...idField,
    service: z.string(),
    fingerprint: z.string(),
  }),
  /** Another trial of the same request is running. */
  z.object({ kind: z.literal('trial.queued'), ...idField }),
  z.object({
    kind: z.literal('trial.granted'),
    ...idField,
    ...knownField,
    /** Servers on which other requests are on trial. */
    beside: z.array(z.string()),
  }),
  z.object({ kind: z.literal('trial.placed'), ...idField, server: z.string() }),
  z.object({ kind: z.literal('trial.ended'), ...idField, ...knownField }),
] as const;

/** Messages between gateways about trials. */
export type TrialMessage = z.infer<(typeof trialMessageSchemas)[number]>;

/** Outcome of a request for a trial. */
export type TrialAnswer =
  | { kind: 'granted'; trial: Trial }
  /** The same request was on trial elsewhere for as long as this one could wait. */
  | { kind: 'busy' }
  | { kind: 'aborted' };

/** A granted trial. */
export interface Trial {
  /** Servers that run other trials; to be used only if there is no other server. */
  serversToAvoid: readonly string[];
  /** The request is sent to a server. */
  placed(server: string): void;
  /** The request has ended, and a crash during it has been counted. */
  ended: () => void;
}

/** Dependencies of the trials. */
export interface TrialsParts {
  clock: Clock;
  log: Log;
  node: string;
  /** The gateway that coordinates the trials of a service. */
  coordinatorOf(service: string): string;
  send(node: string, message: TrialMessage): void;
  /** Records of a request. */
  rowsOf(fingerprint: string): CrashRow[];
  mergeRows(rows: readonly CrashRow[], source: string): void;
}

/** Trials of suspected requests. */
export interface Trials {
  requestTrial(service: string, fingerprint: string, signal: AbortSignal): Promise<TrialAnswer>;
  /** A request's record was cleared: its queued trials may start at once. */
  cleared(fingerprint: string): void;
  received: (node: string, message: TrialMessage) => void;
  lost: (node: string) => void;
  /** Number of requests that are queued or on trial. */
  size(): number;
}

interface PendingTrial {
  request: TrialRequest;
  coordinatorNode: string;
  settle: (answer: 'granted' | 'busy' | 'aborted', serversToAvoid?: readonly string[]) => void;
  /** The coordinator has queued the request. */
  queued: () => void;
}

/**
 * Creates the trials of a gateway.
 *
 * @param parts the connections to coordinators and the local crash records
 */
export function createTrials(parts: TrialsParts): Trials {
  const { clock, log, node } = parts;
  const coordinator = createTrialCoordinator();
  const pending = new Map<string, PendingTrial>();
  let counter = 0;

  function send(to: string, message: TrialMessage): void {
    if (to === node) received(node, message);
    else parts.send(to, message);
  }

  function grant(request: TrialRequest): void {
    const beside = coordinator.serversOfOtherTrials(request);
    const known = parts.rowsOf(request.fingerprint);
    send(request.node, { kind: 'trial.granted', id: request.id, known, beside });
  }

  function requestTrial(
    service: string,
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<TrialAnswer> {
    counter += 1;
    const request: TrialRequest = { node, id: String(counter), service, fingerprint };
    const coordinatorNode = parts.coordinatorOf(service);
    return new Promise((resolve) => {
      let timer: Timer | undefined;
      let isSettled = false;

      function settle(
        answer: 'granted' | 'busy' | 'aborted',
        serversToAvoid: readonly string[] = [],
      ): void {
        if (isSettled) return;
        isSettled = true;
        timer?.cancel();
        signal.removeEventListener('abort', abort);
        log.write('trialAnswered', {
          fingerprint,
          coordinator: coordinatorNode,
          answer,
          beside: serversToAvoid.length,
        });
        if (answer === 'granted') {
          resolve({
            kind: 'granted',
            trial: createTrial(request, coordinatorNode, serversToAvoid),
          });
          return;
        }
        end(request, coordinatorNode);
        resolve({ kind: answer });
      }

      function abort(): void {
        settle('aborted');
      }

      function queued(): void {
        if (isSettled) return;
        timer?.cancel();
        timer = clock.after(MAX_QUEUED_MS, () => {
          settle('busy');
        });
      }

      pending.set(request.id, { request, coordinatorNode, settle, queued });
      signal.addEventListener('abort', abort);
      timer = clock.after(COORDINATOR_TIMEOUT_MS, () => {
        settle('granted');
      });
      send(coordinatorNode, { kind: 'trial.ask', id: request.id, service, fingerprint });
    });
  }

  function createTrial(
    request: TrialRequest,
    coordinatorNode: string,
    serversToAvoid: readonly string[],
  ): Trial {
    return {
      serversToAvoid,
      placed(server) {
        send(coordinatorNode, { kind: 'trial.placed', id: request.id, server });
      },
      ended() {
        end(request, coordinatorNode);
      },
    };
  }

  function end(request: TrialRequest, coordinatorNode: string): void {
    if (!pending.delete(request.id)) return;
    const known = parts.rowsOf(request.fingerprint);
    send(coordinatorNode, { kind: 'trial.ended', id: request.id, known });
  }

  function received(from: string, message: TrialMessage): void {
    match(message)
      .with({ kind: 'trial.ask' }, ({ id, service, fingerprint }) => {
        const request: TrialRequest = { node: from, id, service, fingerprint };
        if (coordinator.enqueue(request)) grant(request);
        else send(from, { kind: 'trial.queued', id });
      })
      .with({ kind: 'trial.placed' }, ({ id, server }) => {
        coordinator.placed(from, id, server);
      })
      .with({ kind: 'trial.ended' }, ({ id, known }) => {
        parts.mergeRows(known, from);
        const next = coordinator.ended(from, id);
        if (next !== undefined) grant(next);
      })
      .with({ kind: 'trial.queued' }, ({ id }) => {
        pending.get(id)?.queued();
      })
      .with({ kind: 'trial.granted' }, ({ id, known, beside }) => {
        parts.mergeRows(known, from);
        pending.get(id)?.settle('granted', beside);
      })
      .exhaustive();
  }

  return {
    requestTrial,
    received,
    cleared(fingerprint) {
      for (const { request, settle } of [...pending.values()]) {
        if (request.fingerprint === fingerprint) settle('granted');
      }
    },
    lost(peer) {
      for (const request of coordinator.lost(peer)) grant(request);
      for (const { coordinatorNode, settle } of [...pending.values()]) {
        if (coordinatorNode === peer) settle('granted');
      }
    },
    size: () => pending.size,
  };
}
