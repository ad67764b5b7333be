/**
 * Sends a request once to one backend server and forwards the answer to the caller as it arrives. The
 * caller gets the server's complete answer or a detectable truncation. Answers that are not streams
 * are buffered up to a limit before they are forwarded, so that a request whose answer ends early can
 * still be retried at another server, where that is allowed.
 */
import type { Agent } from 'node:http';
import { createByteBuffer } from '../ports/byte-buffer.js';
import { resolveServerName, type RegisteredServer } from '../fleet/index.js';
import { setPeerTimeout, type Clock } from '../task/index.js';
import type { CallerAnswer } from './caller-answer.js';
import { createEventSplitter, MAX_EVENT_BYTES, type EventSplitter } from './event-stream.js';
import {
  isEndedByClose,
  startExchange,
  type AnswerHead,
  type Exchange,
  type OutgoingRequest,
} from './exchange.js';
import type { AnswerFacts, ServerLoad } from './protocol.js';

/** Size at which a buffered answer is forwarded while the rest still arrives, in bytes. */
const MAX_BUFFERED_BYTES = 64 * 1024;
/** Largest body of a failure, in bytes; it is buffered whole, since the request may be sent to another server. */
const MAX_FAILURE_BYTES = 256 * 1024;

/** Why nothing is sent any more for a request whose limit has passed, whose caller has left or that is banned. */
export const OVER_REASON = 'the request is over';

/** How one send ended. */
export type SendOutcome =
  /** The complete answer was forwarded. */
  | { kind: 'finished'; status: number }
  /** The server answered with a failure, which was not forwarded. */
  | { kind: 'failed'; head: AnswerHead; facts: AnswerFacts; body: Buffer }
  /** The server did not run the request. */
  | { kind: 'declined'; head: AnswerHead; facts: AnswerFacts; isOtherServer: boolean }
  /** The server received nothing. */
  | { kind: 'unsent'; reason: string }
  /** Nothing was sent, because the server is leaving or has asked for a pause, or the request is over. */
  | { kind: 'withheld'; reason: string }
  /** Nothing was sent, because the credit that had paid for the retry has expired. */
  | { kind: 'unpaid'; reason: string }
  /** The request may have run; there is no complete answer. */
  | { kind: 'lost'; reason: string }
  /** The request may have run; the exchange was aborted because no answer began in time. */
  | { kind: 'overdue'; reason: string }
  /** The request may have run; the path to the server was lost before the answer was complete. */
  | { kind: 'cut'; reason: string }
  /** Aborted by the signal; the request may have run. */
  | { kind: 'aborted' };

/** The outcome of a send for a request that was over before. */
const overOutcome: SendOutcome = { kind: 'withheld', reason: OVER_REASON };

/** One send. */
export interface Send {
  request: OutgoingRequest;
  server: RegisteredServer;
  agent: Agent;
  answer: CallerAnswer;
  isStream: boolean;
  /** Whether another server may go on with the answer if this one breaks off. */
  isContinuable: boolean;
  /** Whether the answer resumes an earlier one that ended early. */
  isContinuation: boolean;
  /** Whether the events of the stream that have just come may be forwarded. */
  mayForwardEvent(): boolean;
  signal: AbortSignal;
  /** Time within which the answer has to begin, in ms; `undefined` for no timeout. */
  answerTimeoutMs: number | undefined;
  /** Called on that timeout: whether the exchange may be aborted to try another server. */
  mayTryAnother(): boolean;
  /** Called for each event that was forwarded. */
  eventForwarded(eventId: string | undefined): void;
  /** Called when the first bytes of a successful answer are forwarded. */
  answerBegun(): void;
  /** Called with the load that the answer reports. */
  loadReceived(load: ServerLoad): void;
  /** Called when the head of the answer has arrived. */
  headReceived(head: AnswerHead, facts: AnswerFacts): void;
}

/**
 * Sends a request.
 *
 * @param send the request, its server and the answer to its caller
 * @param clock the gateway's clock
 */
export function sendOnce(send: Send, clock: Clock): Promise<SendOutcome> {
  if (send.signal.aborted) return Promise.resolve(overOutcome);
  return new Promise((resolve) => {
    let received: { head: AnswerHead; facts: AnswerFacts } | undefined;
    const buffered = createByteBuffer();
    let isForwarding = false;
    let settled = false;
    const splitter = send.isStream ? createEventSplitter() : undefined;

    const exchange: Exchange = startExchange(send.request, send.agent, clock, {
      onHead(head, facts) {
        received = { head, facts };
        if (facts.load !== undefined) send.loadReceived(facts.load);
        send.headReceived(head, facts);
        if (facts.isDeclined) {
          settleDeclined(head, facts);
          exchange.discard();
          return;
        }
        const defect = findDefect(facts, head);
        if (defect !== undefined) lose(defect);
      },
      onData(chunk) {
        if (settled) return;
        if (!isSuccessful()) bufferFailure(chunk);
        else if (splitter === undefined) forwardBody(chunk);
        else forwardEvents(chunk);
      },
      onEnd() {
        finish();
      },
      onError(error) {
        if (error.isWithheld) settle({ kind: 'withheld', reason: error.reason });
        else if (!error.sent) settle({ kind: 'unsent', reason: error.reason });
        else if (error.isPathLost) settle({ kind: 'cut', reason: error.reason });
        else settle({ kind: 'lost', reason: error.reason });
      },
    });
    send.signal.addEventListener('abort', abort);
    const { answerTimeoutMs } = send;
    const answerTimer =
      answerTimeoutMs === undefined
        ? undefined
        : setPeerTimeout(clock, answerTimeoutMs, () => {
            abandon(answerTimeoutMs);
          });

    function abandon(waitedMs: number): void {
      if (received !== undefined || !send.mayTryAnother()) return;
      exchange.abort();
      settle({ kind: 'overdue', reason: `no answer within ${Math.round(waitedMs)} ms` });
    }

    function abort(): void {
      exchange.abort();
      settle(exchange.isSent() ? { kind: 'aborted' } : overOutcome);
    }

    function settle(outcome: SendOutcome): void {
      if (settled) return;
      settled = true;
      answerTimer?.cancel();
      send.signal.removeEventListener('abort', abort);
      resolve(outcome);
    }

    function lose(reason: string): void {
      settle({ kind: 'lost', reason });
      exchange.abort();
    }

    function isSuccessful(): boolean {
      return received !== undefined && isSuccess(received.head.status);
    }

    function bufferFailure(chunk: Buffer): void {
      buffered.append(chunk);
      if (buffered.size() > MAX_FAILURE_BYTES) lose('the body of the failure is too large');
    }

    function begin(): void {
      if (isForwarding || received === undefined) return;
      isForwarding = true;
      if (!send.isContinuation) send.answer.begin(received.head, !send.isContinuable);
      send.answerBegun();
    }

    function forwardBody(chunk: Buffer): void {
      buffered.append(chunk);
      if (buffered.size() < MAX_BUFFERED_BYTES) return;
      begin();
      forward(buffered.take());
    }

    function forwardEvents(chunk: Buffer): void {
      const events = splitter?.push(chunk) ?? [];
      if (events.length > 0) {
        if (!send.mayForwardEvent()) {
          lose('another incarnation of the server answers');
          return;
        }
        begin();
        // one write for all: events may be as small as a blank line
        forward(Buffer.concat(events.map(({ bytes }) => bytes)));
        for (const { id } of events) send.eventForwarded(id);
      }
      const waitingBytes = splitter?.waitingBytes() ?? 0;
      if (waitingBytes > MAX_EVENT_BYTES) lose('an event of the stream is too large');
    }

    function forward(bytes: Buffer): void {
      if (send.answer.write(bytes)) return;
      exchange.pause();
      send.answer.onDrain(() => {
        exchange.resume();
      });
    }

    function settleDeclined(head: AnswerHead, facts: AnswerFacts): void {
      const isOtherServer = isOtherIncarnation(facts, resolveServerName(send.server));
      settle({ kind: 'declined', head, facts, isOtherServer });
    }

    /** Why a stream that has ended is not whole. */
    function findTruncation(events: EventSplitter, answer: AnswerHead): string | undefined {
      if (events.waitingBytes() > 0) return 'the stream ended within an event';
      // an engine that crashes before its first event closes the connection, which ends such an answer
      const isEmpty = !isForwarding && !send.isContinuation;
      return isEmpty && isEndedByClose(answer)
        ? 'the stream ended before its first event'
        : undefined;
    }

    function finish(): void {
      if (received === undefined) return;
      const { head, facts } = received;
      if (!isSuccessful()) {
        settle({ kind: 'failed', head, facts, body: buffered.take() });
        return;
      }
      const truncation = splitter === undefined ? undefined : findTruncation(splitter, head);
      if (truncation !== undefined) {
        settle({ kind: 'lost', reason: truncation });
        return;
      }
      begin();
      if (buffered.size() > 0) forward(buffered.take());
      send.answer.finish();
      settle({ kind: 'finished', status: head.status });
    }
  });
}

/** Whether the request was declined by another incarnation than the expected one. */
export function isOtherIncarnation(facts: AnswerFacts | undefined, expected: string): boolean {
  return facts?.isDeclined === true && facts.serverId !== undefined && facts.serverId !== expected;
}

/** Why an answer cannot be forwarded; `undefined` if it can. */
function findDefect(facts: AnswerFacts, head: AnswerHead): string | undefined {
  if (isSuccess(head.status) && !facts.isSigned) return 'the answer lacks the signature';
  if (isSuccess(head.status) && head.headers['content-encoding'] !== undefined) {
    return 'the answer has a content encoding that was not requested';
  }
  return undefined;
}

/** Whether an answer's status is 2xx. */
export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
