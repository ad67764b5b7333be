/**
 * Loans of retries between gateways. A gateway whose credit is spent, or that has just started and has none,
 * asks a partner to pay for a retry from its own credit. Nothing is created by that: a loan whose answer is lost
 * is spent in vain.
 */
import { match } from 'ts-pattern';
import * as z from 'zod';
import type { Clock, RandomSource, Timer } from '../task/index.js';

/** Timeout for the answer to a request for a loan, in ms; a retry that waits longer is hardly on time. */
const ANSWER_TIMEOUT_MS = 40;
/** Partners asked for one retry at most. */
const MAX_ASKS = 2;
/** Time for which a partner is not asked again after it has refused or not answered, in ms. It bounds the messages
 * while the whole fleet's credit is spent. */
const REFUSED_TTL_MS = 500;

export const loanMessageSchemas = [
  z.object({ kind: z.literal('retry.ask'), id: z.string(), service: z.string() }),
  z.object({ kind: z.literal('retry.answer'), id: z.string(), isGranted: z.boolean() }),
] as const;

/** Messages between gateways about loans. */
export type LoanMessage = z.infer<(typeof loanMessageSchemas)[number]>;

/** Dependencies of loans. */
export interface LoansParts {
  clock: Clock;
  random: RandomSource;
  node: string;
  /** Partners that understand requests for loans. */
  lenders(): readonly string[];
  /** Pays for a retry of a peer; false if there is no credit left. */
  lend(service: string): boolean;
  /** Sends to a peer; returns false without a link. */
  send(node: string, message: LoanMessage): boolean;
}

/** Loans of one gateway. */
export interface Loans {
  /** Asks partners to pay for one retry; resolves to whether one did. */
  borrow(service: string): Promise<boolean>;
  received(node: string, message: LoanMessage): void;
  /** Ends requests that are pending at a lost peer. */
  peerLost(node: string): void;
}

interface PendingLoan {
  lender: string;
  complete: (isGranted: boolean) => void;
}

/**
 * Creates loans.
 *
 * @param parts this gateway's credit and the transport to its partners
 */
export function createLoans(parts: LoansParts): Loans {
  const { clock, random, node } = parts;
  const pending = new Map<string, PendingLoan>();
  /** When a partner last refused, by service and partner. */
  const refusedAt = new Map<string, Map<string, number>>();
  let counter = 0;

  function refusalsOf(service: string): Map<string, number> {
    const known = refusedAt.get(service) ?? new Map<string, number>();
    refusedAt.set(service, known);
    for (const [lender, at] of known) {
      if (clock.now() - at >= REFUSED_TTL_MS) known.delete(lender);
    }
    return known;
  }

  function chooseLender(service: string): string | undefined {
    const refusals = refusalsOf(service);
    const candidates = parts.lenders().filter((lender) => !refusals.has(lender));
    return candidates[Math.floor(random.next() * candidates.length)];
  }

  function ask(lender: string, service: string): Promise<boolean> {
    counter += 1;
    const id = `${node}/${counter}`;
    return new Promise((resolve) => {
      function complete(isGranted: boolean): void {
        if (!pending.delete(id)) return;
        timer.cancel();
        resolve(isGranted);
      }
      const timer: Timer = clock.after(ANSWER_TIMEOUT_MS, () => {
        complete(false);
      });
      pending.set(id, { lender, complete });
      if (!parts.send(lender, { kind: 'retry.ask', id, service })) complete(false);
    });
  }

  return {
    async borrow(service) {
      for (let asks = 0; asks < MAX_ASKS; asks += 1) {
        const lender = chooseLender(service);
        if (lender === undefined) return false;
        if (await ask(lender, service)) return true;
        refusalsOf(service).set(lender, clock.now());
      }
      return false;
    },
    received(from, message) {
      match(message)
        .with({ kind: 'retry.ask' }, ({ id, service }) => {
          parts.send(from, { kind: 'retry.answer', id, isGranted: parts.lend(service) });
        })
        .with({ kind: 'retry.answer' }, ({ id, isGranted }) => {
          pending.get(id)?.complete(isGranted);
        })
        .exhaustive();
    },
    peerLost(peer) {
      for (const { lender, complete } of [...pending.values()]) {
        if (lender === peer) complete(false);
      }
    },
  };
}
