/**
 * Allowances: permission from the allocating gateway to send one request to a rate-limited server of a
 * plain service. Requests to engines need none, since the allocating gateway places them itself.
 */
import { match } from 'ts-pattern';
import * as z from 'zod';
import type { Clock, RandomSource, Timer } from '../task/index.js';
import { noticeRowSchema, type NoticeRow } from './notices.js';
import type { SendLimits } from './send-limits.js';

/** Timeout for an answer of the allocating gateway, in ms: some round trips and its processor's turn. */
const ANSWER_TIMEOUT_MS = 40;
/** Maximum time for which a server is closed after a timeout, in ms; the allocating gateway may be back
 * by then. */
const MAX_WAIT_AFTER_TIMEOUT_MS = 500;
/** Minimum time for which a server is closed after a refusal, in ms. */
const MIN_WAIT_MS = 5;

export const allowanceMessageSchemas = [
  z.object({
    kind: z.literal('allowance.ask'),
    id: z.string(),
    server: z.string(),
    /** Other requests leave room for urgent ones. */
    isUrgent: z.boolean(),
    /** The server's signals, which the allocating gateway may not have received yet. */
    notice: noticeRowSchema.optional(),
  }),
  z.object({
    kind: z.literal('allowance.answer'),
    id: z.string(),
    /** Time until the request may be repeated, in ms; 0 if it is granted. */
    waitMs: z.number(),
  }),
] as const;

/** Messages between gateways about allowances. */
export type AllowanceMessage = z.infer<(typeof allowanceMessageSchemas)[number]>;

/** Dependencies of allowances. */
export interface AllowancesParts {
  clock: Clock;
  random: RandomSource;
  node: string;
  limits: SendLimits;
  /** The gateway that allocates the limit of a server. */
  allocatorOf(server: string): string;
  noticeOf(server: string): NoticeRow | undefined;
  /** Applies a notice from a peer. */
  applyNotice(node: string, notice: NoticeRow): void;
  /** Sends to a peer; returns false without a link. */
  send(node: string, message: AllowanceMessage): boolean;
}

/** Allowances of this gateway. */
export interface Allowances {
  /** Time until an allowance for a server may be requested again, in ms. */
  msUntilOpen: (server: string) => number;
  /** Requests an allowance for one request; resolves to whether it was granted. */
  acquire: (server: string, isUrgent: boolean) => Promise<boolean>;
  received(node: string, message: AllowanceMessage): void;
  /** Decides requests that are pending at a lost peer on this gateway. */
  peerLost(node: string): void;
  forget(server: string): void;
}

interface PendingRequest {
  allocator: string;
  /** `undefined` if the allocator did not answer. */
  complete: (waitMs: number | undefined) => void;
}

/**
 * Creates allowances.
 *
 * @param parts the limits and the transport to the gateways that allocate them
 */
export function createAllowances(parts: AllowancesParts): Allowances {
  const { clock, random, node, limits } = parts;
  const pendingById = new Map<string, PendingRequest>();
  const closedUntil = new Map<string, number>();
  let counter = 0;

  /** Takes a request out of the limit and returns 0, or returns the time until there is room, in ms. */
  function takeOrWait(server: string, isUrgent: boolean): number {
    const waitMs = limits.msUntilRoom(server, isUrgent ? 0 : 1);
    if (waitMs > 0) return waitMs * (1 + random.next());
    limits.take(server);
    return 0;
  }

  function askAllocator(allocator: string, server: string, isUrgent: boolean): Promise<number> {
    counter += 1;
    const id = `${node}/${counter}`;
    return new Promise((resolve) => {
      function complete(waitMs: number | undefined): void {
        if (!pendingById.delete(id)) return;
        timer.cancel();
        resolve(waitMs ?? Math.min(MAX_WAIT_AFTER_TIMEOUT_MS, takeOrWait(server, isUrgent)));
      }
      pendingById.set(id, { allocator, complete });
      const timer: Timer = clock.after(ANSWER_TIMEOUT_MS, () => {
        complete(undefined);
      });
      const notice = parts.noticeOf(server);
      const isSent = parts.send(allocator, {
        kind: 'allowance.ask',
        id,
        server,
        isUrgent,
        ...(notice && { notice }),
      });
      if (!isSent) complete(undefined);
    });
  }

  return {
    msUntilOpen: (server) => Math.max(0, (closedUntil.get(server) ?? 0) - clock.now()),
    async acquire(server, isUrgent) {
      const allocator = parts.allocatorOf(server);
      const isAllocator = allocator === node;
      const waitMs = await (isAllocator
        ? takeOrWait(server, isUrgent)
        : askAllocator(allocator, server, isUrgent));
      if (waitMs <= 0) return true;
      closedUntil.set(server, clock.now() + Math.max(MIN_WAIT_MS, waitMs));
      return false;
    },
    received(from, message) {
      match(message)
        .with({ kind: 'allowance.ask' }, ({ id, server, isUrgent, notice }) => {
          if (notice !== undefined) parts.applyNotice(from, notice);
          const waitMs = takeOrWait(server, isUrgent);
          parts.send(from, { kind: 'allowance.answer', id, waitMs });
        })
        .with({ kind: 'allowance.answer' }, ({ id, waitMs }) => {
          pendingById.get(id)?.complete(waitMs);
        })
        .exhaustive();
    },
    peerLost(peer) {
      for (const { allocator, complete } of [...pendingById.values()]) {
        if (allocator === peer) complete(undefined);
      }
    },
    forget(server) {
      closedUntil.delete(server);
    },
  };
}
