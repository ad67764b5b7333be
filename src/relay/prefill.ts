/**
 * Has a prompt read by one engine, which then keeps its KV cache for the engine that generates.
 */
import { resolveServerName, type RegisteredServer } from '../fleet/index.js';
import { setPeerTimeout } from '../task/index.js';
import type { AnswerHead } from './exchange.js';
import type { PlacementContext } from './placer.js';
import { isOtherIncarnation } from './send.js';
import type { AnswerFacts } from './protocol.js';

/** What came of reading a prompt. */
export type PrefillOutcome =
  | { kind: 'read'; handle: string }
  | { kind: 'declined'; status: number }
  | { kind: 'unsent'; reason: string }
  /** Nothing was sent, since the engine wants nothing now. */
  | { kind: 'withheld'; reason: string }
  | { kind: 'lost'; reason: string }
  /** Nothing came back within the time that such a reading may take; the engine was let go. */
  | { kind: 'overdue'; reason: string }
  | { kind: 'aborted' };

/**
 * Has the prompt of a request read.
 *
 * @param context the request
 * @param server the engine that is to read
 * @param limitMs how long the reading may take, in milliseconds
 */
export function runPrefill(
  context: PlacementContext,
  server: RegisteredServer,
  limitMs: number,
): Promise<PrefillOutcome> {
  const { protocol } = context;
  if (context.signal.aborted) return Promise.resolve({ kind: 'aborted' });
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let head: AnswerHead | undefined;
    let facts: AnswerFacts | undefined;
    let settled = false;
    const sent = context.watchSend(server);

    const exchange = context.start(
      server,
      { isPrefill: true },
      {
        onHead(received) {
          head = received;
          facts = protocol.readAnswer(received);
          context.headReceived(server, received, facts);
        },
        onData(chunk) {
          chunks.push(chunk);
        },
        onEnd() {
          settle(judgeAnswer());
        },
        onError(loss) {
          const { reason } = loss;
          if (loss.isWithheld) settle({ kind: 'withheld', reason });
          else settle({ kind: loss.sent ? 'lost' : 'unsent', reason });
        },
      },
    );
    const limit = setPeerTimeout(context.clock, limitMs, () => {
      exchange.abort();
      settle({ kind: 'overdue', reason: `not read within ${Math.round(limitMs)} ms` });
    });
    context.signal.addEventListener('abort', abort);

    function abort(): void {
      exchange.abort();
      settle({ kind: 'aborted' });
    }

    function judgeAnswer(): PrefillOutcome {
      const status = head?.status ?? 0;
      if (facts?.isDeclined === true) return { kind: 'declined', status };
      const isOurs = facts?.requestId === undefined || facts.requestId === context.requestId;
      const handle = protocol.parseHandle(Buffer.concat(chunks));
      if (status !== 200 || !isOurs || handle === undefined) {
        return { kind: 'lost', reason: `status ${status} without a usable handle` };
      }
      return { kind: 'read', handle };
    }

    function settle(outcome: PrefillOutcome): void {
      if (settled) return;
      settled = true;
      limit.cancel();
      context.signal.removeEventListener('abort', abort);
      if (outcome.kind === 'lost') void sent.lost();
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
