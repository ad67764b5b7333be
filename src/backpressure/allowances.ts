/**
 * Leave to send single requests to servers of plain services that have named limits, from the gateway that allocates
 * these. A request for engines needs none: its placement comes from that gateway.
 */
import { match } from 'ts-pattern';
import * as z from 'zod';
import type { Clock, RandomSource, Timer } from '../task/index.js';
import { noticeRowSchema, type NoticeRow } from './notices.js';
import type { SendLimits } from './send-limits.js';

/** How long the allocating gateway may take to answer, in ms: some ways there and back, and its processor's turn. */
const SILENCE_MS = 40;
/** A server is closed for at most so long where the allocating gateway was silent, in ms: it may be back. */
const MAX_SILENT_WAIT_MS = 500;
/** After a refusal the server isn't asked for within this, in ms, however soon there may be room. */
const LEAST_WAIT_MS = 5;

export const allowanceMessageSchemas = [
  z.object({
    kind: z.literal('allowance.ask'),
    id: z.string(),
    server: z.string(),
    /** Less urgent requests leave room for one that is more so. */
    isUrgent: z.boolean(),
    /** What the server asks for, which the allocating gateway may not have heard yet. */
    notice: noticeRowSchema.optional(),
  }),
  z.object({
    kind: z.literal('allowance.answer'),
    id: z.string(),
    /** Time until it is of use to ask again; 0 where the request may be sent. */
    waitMs: z.number(),
  }),
] as const;

/** What gateways say to each other of single sends. */
export type AllowanceMessage = z.infer<(typeof allowanceMessageSchemas)[number]>;

/** What allowances need. */
export interface AllowancesParts {
  clock: Clock;
  random: RandomSource;
  node: string;
  limits: SendLimits;
  /** The gateway that allocates the limit of a server. */
  allocatorOf(server: string): string;
  noticeOf(server: string): NoticeRow | undefined;
  /** Takes in what a peer has heard. */
  applyNotice(node: string, notice: NoticeRow): void;
  /** Sends to a peer; false where there is no way to it. */
  send(node: string, message: AllowanceMessage): boolean;
}

/** Leave to send. */
export interface Allowances {
  /** Time for which a server takes nothing more from this gateway, as far as it knows, in ms. */
  msUntilOpen: (server: string) => number;
  /** Asks for leave to send one request; gives whether it may be sent. */
  acquire: (server: string, isUrgent: boolean) => Promise<boolean>;
  received(node: string, message: AllowanceMessage): void;
  /** A peer was lost: what it was asked is decided here. */
  peerLost(node: string): void;
  forget(server: string): void;
}

interface Asked {
  allocator: string;
  settle: (waitMs: number | undefined) => void;
}

/**
 * Creates allowances.
 *
 * @param parts the limits and the way to the gateways that allocate them
 */
export function createAllowances(parts: AllowancesParts): Allowances {
  const { clock, random, node, limits } = parts;
  const asked = new Map<string, Asked>();
  /** Until when each server takes nothing more. */
  const closedUntil = new Map<string, number>();
  let counter = 0;

  /** Takes a send out of the limit, or tells how long there is no room. */
  function decide(server: string, isUrgent: boolean): number {
    const waitMs = limits.msUntilRoom(server, isUrgent ? 0 : 1);
    if (waitMs > 0) return waitMs * (1 + random.next());
    limits.take(server);
    return 0;
  }

  function askAllocator(allocator: string, server: string, isUrgent: boolean): Promise<number> {
    counter += 1;
    const id = `${node}/${counter}`;
    return new Promise((resolve) => {
      function settle(waitMs: number | undefined): void {
        if (!asked.delete(id)) return;
        timer.cancel();
        resolve(waitMs ?? Math.min(MAX_SILENT_WAIT_MS, decide(server, isUrgent)));
      }
      asked.set(id, { allocator, settle });
      const timer: Timer = clock.after(SILENCE_MS, () => {
        settle(undefined);
      });
      const notice = parts.noticeOf(server);
      const isSent = parts.send(allocator, {
        kind: 'allowance.ask',
        id,
        server,
        isUrgent,
        ...(notice && { notice }),
      });
      if (!isSent) settle(undefined);
    });
  }

  return {
    msUntilOpen: (server) => Math.max(0, (closedUntil.get(server) ?? 0) - clock.now()),
    async acquire(server, isUrgent) {
      const allocator = parts.allocatorOf(server);
      const isOwn = allocator === node;
      const waitMs = await (isOwn
        ? decide(server, isUrgent)
        : askAllocator(allocator, server, isUrgent));
      if (waitMs <= 0) return true;
      closedUntil.set(server, clock.now() + Math.max(LEAST_WAIT_MS, waitMs));
      return false;
    },
    received(from, message) {
      match(message)
        .with({ kind: 'allowance.ask' }, ({ id, server, isUrgent, notice }) => {
          if (notice !== undefined) parts.applyNotice(from, notice);
          const waitMs = decide(server, isUrgent);
          parts.send(from, { kind: 'allowance.answer', id, waitMs });
        })
        .with({ kind: 'allowance.answer' }, ({ id, waitMs }) => {
          asked.get(id)?.settle(waitMs);
        })
        .exhaustive();
    },
    peerLost(peer) {
      for (const { allocator, settle } of [...asked.values()]) {
        if (allocator === peer) settle(undefined);
      }
    },
    forget(server) {
      closedUntil.delete(server);
    },
  };
}
