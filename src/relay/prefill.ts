/**
 * Prefills a prompt at one engine, which holds the KV cache for the engine that generates.
 */
import { resolveServerName, type RegisteredServer } from '../fleet/index.js';
import { createBoundedBody } from '../ports/bounded-body.js';
import { setPeerTimeout } from '../task/index.js';
import type { AnswerHead } from './exchange.js';
import type { PlacementContext } from './placer.js';
import { isOtherIncarnation } from './send.js';
import type { AnswerFacts } from './protocol.js';

/** Largest answer to a prefill, in bytes: it holds a handle and two numbers. */
const MAX_ANSWER_BYTES = 64 * 1024;

/** How a prefill ended. */
export type PrefillOutcome =
  | { kind: 'read'; handle: string }
  | { kind: 'declined'; status: number }
  | { kind: 'unsent'; reason: string }
  /** Nothing was sent, because the engine is leaving or has asked for a pause. */
  | { kind: 'withheld'; reason: string }
  | { kind: 'lost'; reason: string }
  /** The path to the engine was lost before it answered. */
  | { kind: 'cut'; reason: string }
  /** Aborted because the engine did not answer within the limit. */
  | { kind: 'overdue'; reason: string }
  | { kind: 'aborted' };

/**
 * Prefills the prompt of a request.
 *
 * @param context the request
 * @param server the engine
 * @param limitMs how long the prefill may take, in milliseconds
 */
export function runPrefill(
  context: PlacementContext,
  server: RegisteredServer,
  limitMs: number,
): Promise<PrefillOutcome> {
  const { protocol } = context;
  if (context.signal.aborted) return Promise.resolve({ kind: 'aborted' });
  return new Promise((resolve) => {
    const body = createBoundedBody(MAX_ANSWER_BYTES);
    let head: AnswerHead | undefined;
    let facts: AnswerFacts | undefined;
    let settled = false;
    const watchedSend = context.watchSend(server);

    const exchange = context.start(
      server,
      { isPrefill: true },
      {
        onHead(received, stated) {
          head = received;
          facts = stated;
          context.headReceived(server, received, facts);
          if (!facts.isDeclined) return;
          settle({ kind: 'declined', status: received.status });
          exchange.discard();
        },
        onData(chunk) {
          if (body.add(chunk)) return;
          settle({ kind: 'lost', reason: 'the answer is too large' });
          exchange.abort();
        },
        onEnd() {
          settle(resolveOutcome());
        },
        onError(error) {
          const { reason } = error;
          if (error.isWithheld) settle({ kind: 'withheld', reason });
          else if (error.isPathLost) settle({ kind: 'cut', reason });
          else settle({ kind: error.sent ? 'lost' : 'unsent', reason });
        },
      },
    );
    const limit = setPeerTimeout(context.clock, limitMs, () => {
      exchange.abort();
      settle({ kind: 'overdue', reason: `prefill did not end within ${Math.round(limitMs)} ms` });
    });
    context.signal.addEventListener('abort', abort);

    function abort(): void {
      exchange.abort();
      settle({ kind: 'aborted' });
    }

    function resolveOutcome(): PrefillOutcome {
      const status = head?.status ?? 0;
      const handle = protocol.parseHandle(body.bytes());
      if (status !== 200 || handle === undefined) {
        return { kind: 'lost', reason: `status ${status} without a usable handle` };
      }
      return { kind: 'read', handle };
    }

    function settle(outcome: PrefillOutcome): void {
      if (settled) return;
      settled = true;
      limit.cancel();
      context.signal.removeEventListener('abort', abort);
      if (outcome.kind === 'lost') void watchedSend.lost();
      context.recordHealth(
        server,
        outcome.kind,
        isOtherIncarnation(facts, resolveServerName(server)),
      );
      context.prefillEnded(server, outcome);
      resolve(outcome);
    }
  });
}
