/**
 * Decides whose an answer is, before anything that it states is used. A faulty server may send an answer a second time,
 * where the one to a later request is due; only the id that it bears tells whose it is.
 */
import type { Log } from '../events/index.js';
import type { RegisteredServer } from '../fleet/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { AnswerHead } from './exchange.js';
import type { AnswerFacts, BackendProtocol } from './protocol.js';

/** Dependencies of {@link readOwnAnswer}. */
export interface AnswerReaderParts {
  log: Log;
  metrics: Pick<GatewayMetrics, 'answersNotOwn'>;
  protocol: Pick<BackendProtocol, 'readAnswer'>;
}

/**
 * Decodes the answer to a request.
 *
 * @param requestId the id that the request has; an answer to one without an id has none either
 * @param server the server that was asked
 * @param head the head of the answer
 * @returns `undefined` for an answer to another request
 */
export function readOwnAnswer(
  parts: AnswerReaderParts,
  requestId: string | undefined,
  server: RegisteredServer,
  head: AnswerHead,
): AnswerFacts | undefined {
  const facts = parts.protocol.readAnswer(head);
  if (facts.requestId === requestId) return facts;
  parts.metrics.answersNotOwn.inc({ declined: String(facts.isDeclined) });
  parts.log.write('answerNotOwn', {
    request: requestId,
    server: server.id,
    answered: facts.requestId,
    status: head.status,
    isDeclined: facts.isDeclined,
  });
  return undefined;
}
