/**
 * Asks for trials of requests under which a server has ended, at the gateway that coordinates those of their service,
 * and coordinates those of the services that fall to this one. Nothing is agreed on: where the coordinator is silent,
 * the request runs all the same, as one more among the few.
 */
import { match } from 'ts-pattern';
import * as z from 'zod';
import type { Log } from '../events/index.js';
import type { Clock, Timer } from '../task/index.js';
import { crashRowSchema, type CrashRow } from './messages.js';
import { createTrialCoordinator, type TrialRequest } from './trial-coordinator.js';

/** How long the coordinator may take to answer, in ms: some ways there and back, and its processor's turn. */
const SILENCE_MS = 60;
/** How long a request waits behind another trial of the same, in ms: a caller that waits for longer is told to come
 * back, by when the trial has shown what the request does. */
const WAIT_MS = 500;

const idField = { id: z.string() };
/** What is known of the request by now, which may not have come by another way yet. */
const knownField = { known: z.array(crashRowSchema) };

export const trialMessageSchemas = [
  z.object({
    kind: z.literal('trial.ask'),
    ...idField,
    service: z.string(),
    fingerprint: z.string(),
  }),
  /** Another trial of the same request comes first. */
  z.object({ kind: z.literal('trial.queued'), ...idField }),
  z.object({
    kind: z.literal('trial.granted'),
    ...idField,
    ...knownField,
    /** Servers at which others are tried. */
    beside: z.array(z.string()),
  }),
  z.object({ kind: z.literal('trial.placed'), ...idField, server: z.string() }),
  z.object({ kind: z.literal('trial.ended'), ...idField, ...knownField }),
] as const;

/** What gateways say to each other of trials. */
export type TrialMessage = z.infer<(typeof trialMessageSchemas)[number]>;

/** What came of asking for a trial. */
export type TrialAnswer =
  | { kind: 'granted'; trial: Trial }
  /** The same request is on trial elsewhere, and goes on being so. */
  | { kind: 'busy' }
  | { kind: 'aborted' };

/** A trial that was granted. */
export interface Trial {
  /** Servers that are left to other trials where there is another one. */
  serversToAvoid: readonly string[];
  /** The request goes to a server. */
  placed(server: string): void;
  /** The request has ended, and what that showed is known. */
  ended: () => void;
}

/** What trials need. */
export interface TrialsParts {
  clock: Clock;
  log: Log;
  node: string;
  /** The gateway that coordinates the trials of a service. */
  coordinatorOf(service: string): string;
  send(node: string, message: TrialMessage): void;
  /** What is known of a request. */
  rowsOf(fingerprint: string): CrashRow[];
  mergeRows(rows: readonly CrashRow[], source: string): void;
}

/** Trials of requests. */
export interface Trials {
  request(service: string, fingerprint: string, signal: AbortSignal): Promise<TrialAnswer>;
  /** A request is not suspected any more: what waits for its trial may run. */
  cleared(fingerprint: string): void;
  received: (node: string, message: TrialMessage) => void;
  lost: (node: string) => void;
  /** Requests that wait for a trial or are on one. */
  size(): number;
}

interface Asked {
  claim: TrialRequest;
  /** The gateway that was asked. */
  at: string;
  settle: (answer: 'granted' | 'busy' | 'aborted', beside?: readonly string[]) => void;
  /** The coordinator has answered that it has the claim. */
  noteQueued: () => void;
}

/**
 * Creates the trials of a gateway.
 *
 * @param parts the way to the coordinators
 */
export function createTrials(parts: TrialsParts): Trials {
  const { clock, log, node } = parts;
  const coordinator = createTrialCoordinator();
  const asked = new Map<string, Asked>();
  let counter = 0;

  function tell(to: string, message: TrialMessage): void {
    if (to === node) received(node, message);
    else parts.send(to, message);
  }

  function grant(claim: TrialRequest): void {
    const beside = coordinator.serversOfOtherTrials(claim);
    const known = parts.rowsOf(claim.fingerprint);
    tell(claim.node, { kind: 'trial.granted', id: claim.id, known, beside });
  }

  function ask(service: string, fingerprint: string, signal: AbortSignal): Promise<TrialAnswer> {
    counter += 1;
    const claim: TrialRequest = { node, id: String(counter), service, fingerprint };
    const at = parts.coordinatorOf(service);
    return new Promise((resolve) => {
      let timer: Timer | undefined;
      let isSettled = false;

      function settle(
        answer: 'granted' | 'busy' | 'aborted',
        beside: readonly string[] = [],
      ): void {
        if (isSettled) return;
        isSettled = true;
        timer?.cancel();
        signal.removeEventListener('abort', abort);
        log.write('trialAnswered', { fingerprint, at, answer, beside: beside.length });
        if (answer === 'granted') {
          resolve({ kind: 'granted', trial: createTrial(claim, at, beside) });
          return;
        }
        end(claim, at);
        resolve({ kind: answer });
      }

      function abort(): void {
        settle('aborted');
      }

      function noteQueued(): void {
        if (isSettled) return;
        timer?.cancel();
        timer = clock.after(WAIT_MS, () => {
          settle('busy');
        });
      }

      asked.set(claim.id, { claim, at, settle, noteQueued });
      signal.addEventListener('abort', abort);
      timer = clock.after(SILENCE_MS, () => {
        settle('granted');
      });
      tell(at, { kind: 'trial.ask', id: claim.id, service, fingerprint });
    });
  }

  function createTrial(claim: TrialRequest, at: string, beside: readonly string[]): Trial {
    return {
      serversToAvoid: beside,
      placed(server) {
        tell(at, { kind: 'trial.placed', id: claim.id, server });
      },
      ended() {
        end(claim, at);
      },
    };
  }

  function end(claim: TrialRequest, at: string): void {
    if (!asked.delete(claim.id)) return;
    const known = parts.rowsOf(claim.fingerprint);
    tell(at, { kind: 'trial.ended', id: claim.id, known });
  }

  function received(from: string, message: TrialMessage): void {
    match(message)
      .with({ kind: 'trial.ask' }, ({ id, service, fingerprint }) => {
        const claim: TrialRequest = { node: from, id, service, fingerprint };
        if (coordinator.request(claim)) grant(claim);
        else tell(from, { kind: 'trial.queued', id });
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
        asked.get(id)?.noteQueued();
      })
      .with({ kind: 'trial.granted' }, ({ id, known, beside }) => {
        parts.mergeRows(known, from);
        asked.get(id)?.settle('granted', beside);
      })
      .exhaustive();
  }

  return {
    request: ask,
    received,
    cleared(fingerprint) {
      for (const { claim, settle } of [...asked.values()]) {
        if (claim.fingerprint === fingerprint) settle('granted');
      }
    },
    lost(peer) {
      for (const claim of coordinator.lost(peer)) grant(claim);
      for (const { at, settle } of [...asked.values()]) {
        if (at === peer) settle('granted');
      }
    },
    size: () => asked.size,
  };
}
