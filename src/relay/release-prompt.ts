/**
 * Releases an unused prefilled prompt, so that its engine can free the memory at once.
 */
import type { Log } from '../events/index.js';
import type { Backpressure } from '../backpressure/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import { setPeerTimeout, type Clock } from '../task/index.js';
import { readOwnAnswer, type AnswerReaderParts } from './answer-reader.js';
import type { Connections } from './connections.js';
import { startExchange } from './exchange.js';
import type { BackendProtocol, PrefilledPrompt } from './protocol.js';
import type { ServerGate } from './server-gate.js';

/** How long a release may take, in ms; the engine expires the prompt by itself some seconds later. */
const RELEASE_TIMEOUT_MS = 2_000;

/** What releasing a prompt needs. */
export interface ReleaseParts {
  clock: Clock;
  log: Log;
  metrics: AnswerReaderParts['metrics'];
  protocol: BackendProtocol;
  connections: Connections;
  backpressure: Pick<Backpressure, 'limits'>;
  gate: ServerGate;
  requestId: string | undefined;
}

/**
 * Releases a prompt.
 *
 * @param parts connections and protocol
 * @param prompt the prefilled prompt
 * @param server the engine that holds it
 */
export function releasePrompt(
  parts: ReleaseParts,
  prompt: PrefilledPrompt,
  server: RegisteredServer,
): void {
  const { clock, log, protocol, gate, requestId } = parts;
  const { address } = prompt;

  function logFailure(reason: string): void {
    log.write('releaseFailed', { request: requestId, server: server.id, reason });
  }

  if (gate.isPaused(server)) {
    logFailure('the server asked for a pause; it will expire the prompt itself');
    return;
  }
  parts.backpressure.limits.take(server.id);
  const { method, path } = protocol.releaseCall(prompt);
  const exchange = startExchange(
    {
      address,
      method,
      path,
      rawHeaders: ['Host', address],
      body: undefined,
      // the call has no id
      readAnswer: (head) => readOwnAnswer(parts, undefined, server, head),
      restAbandoned(reason) {
        log.write('answerRestAbandoned', { request: requestId, server: server.id, reason });
      },
    },
    parts.connections.agentFor(server.id),
    clock,
    {
      onHead(head, facts) {
        limit.cancel();
        gate.headReceived(server, head, facts);
        exchange.discard();
      },
      onData: () => undefined,
      onEnd: () => undefined,
      onError({ reason }) {
        limit.cancel();
        logFailure(reason);
      },
    },
  );
  const limit = setPeerTimeout(clock, RELEASE_TIMEOUT_MS, () => {
    exchange.abort();
    logFailure(`no answer within ${RELEASE_TIMEOUT_MS} ms`);
  });
}
