/**
 * Sends one request once to one backend server and passes the answer on to the caller as it comes.
 * What the caller gets is the server's own whole answer, or visibly less. Answers that are not
 * streams are collected up to a limit before they are passed on, so that one that breaks off early
 * can still be asked for elsewhere, where that is allowed.
 */
import type { Agent } from 'node:http';
import { resolveServerName, type RegisteredServer } from '../fleet/index.js';
import { setPeerTimeout, type Clock } from '../task/index.js';
import type { CallerAnswer } from './caller-answer.js';
import { createEventSplitter } from './event-stream.js';
import { startExchange, type Exchange, type AnswerHead, type OutgoingRequest } from './exchange.js';
import type { AnswerFacts, BackendProtocol, ServerLoad } from './protocol.js';

/** Bytes of an answer that are collected before it is passed on while it still arrives. */
const COLLECTED_BYTES = 64 * 1024;

/** How one send ended. */
export type SendOutcome =
  /** The whole answer was passed on. */
  | { kind: 'finished'; status: number }
  /** The server answered with a failure of its own, which was not passed on. */
  | { kind: 'failed'; head: AnswerHead; body: Buffer }
  /** The server did not run the request. */
  | { kind: 'declined'; status: number; isOtherServer: boolean }
  /** The server received nothing. */
  | { kind: 'unsent'; reason: string }
  /** Nothing was sent, since the server wants nothing now. */
  | { kind: 'withheld'; reason: string }
  /** The request may have run; there is no whole answer. */
  | { kind: 'lost'; reason: string }
  /** The request may have run; the server was let go because no answer began in time. */
  | { kind: 'overdue'; reason: string }
  /** The signal ended it. */
  | { kind: 'aborted' };

/** One send. */
export interface Send {
  request: OutgoingRequest;
  requestId: string | undefined;
  server: RegisteredServer;
  agent: Agent;
  answer: CallerAnswer;
  isStream: boolean;
  /** The answer goes on where an earlier one broke off. */
  isContinuation: boolean;
  signal: AbortSignal;
  /** Time until the answer has to begin, in ms; `undefined` where it is waited for to the end. */
  answerTimeoutMs: number | undefined;
  /** Asked once that time is over: whether another server may be asked instead. */
  mayTryAnother(): boolean;
  /** Hears of each event that was passed on. */
  eventForwarded(eventId: string | undefined): void;
  /** Hears of the first byte of a good answer. */
  answerBegun(): void;
  /** Hears of the server's load. */
  loadReceived(load: ServerLoad): void;
  /** Hears what the head of the answer says. */
  headReceived(head: AnswerHead, facts: AnswerFacts): void;
}

/**
 * Sends a request.
 *
 * @param send what to send, where, and where the answer goes
 * @param protocol how backend servers speak
 * @param clock the gateway's clock
 */
export function sendOnce(
  send: Send,
  protocol: BackendProtocol,
  clock: Clock,
): Promise<SendOutcome> {
  if (send.signal.aborted) return Promise.resolve({ kind: 'aborted' });
  return new Promise((resolve) => {
    let head: AnswerHead | undefined;
    let facts: AnswerFacts | undefined;
    let collected: Buffer[] = [];
    let collectedBytes = 0;
    let passing = false;
    let settled = false;
    const cutter = send.isStream ? createEventSplitter() : undefined;

    const exchange: Exchange = startExchange(send.request, send.agent, clock, {
      onHead(received) {
        head = received;
        facts = protocol.readAnswer(received);
        if (facts.load !== undefined) send.loadReceived(facts.load);
        send.headReceived(received, facts);
        const flaw = findFlaw(facts, received, send.requestId);
        if (flaw === undefined) return;
        settle({ kind: 'lost', reason: flaw });
        exchange.abort();
      },
      onData(chunk) {
        if (settled) return;
        if (!isGood()) collect(chunk);
        else if (cutter === undefined) passPlain(chunk);
        else passEvents(chunk);
      },
      onEnd() {
        finish();
      },
      onError(loss) {
        if (loss.isWithheld) settle({ kind: 'withheld', reason: loss.reason });
        else if (!loss.sent) settle({ kind: 'unsent', reason: loss.reason });
        else if (facts?.isDeclined === true) settleDeclined();
        else settle({ kind: 'lost', reason: loss.reason });
      },
    });
    send.signal.addEventListener('abort', abort);
    const { answerTimeoutMs: patienceMs } = send;
    const patience =
      patienceMs === undefined
        ? undefined
        : setPeerTimeout(clock, patienceMs, () => {
            letGo(patienceMs);
          });

    function letGo(waitedMs: number): void {
      if (head !== undefined || !send.mayTryAnother()) return;
      exchange.abort();
      settle({ kind: 'overdue', reason: `no answer within ${Math.round(waitedMs)} ms` });
    }

    function abort(): void {
      exchange.abort();
      settle({ kind: 'aborted' });
    }

    function settle(outcome: SendOutcome): void {
      if (settled) return;
      settled = true;
      patience?.cancel();
      send.signal.removeEventListener('abort', abort);
      resolve(outcome);
    }

    function isGood(): boolean {
      return head !== undefined && isSuccess(head.status) && facts?.isDeclined !== true;
    }

    function collect(chunk: Buffer): void {
      collected.push(chunk);
      collectedBytes += chunk.length;
    }

    function begin(): void {
      if (passing || head === undefined) return;
      passing = true;
      if (!send.isContinuation) send.answer.begin(head);
      send.answerBegun();
    }

    function passPlain(chunk: Buffer): void {
      collect(chunk);
      if (collectedBytes < COLLECTED_BYTES) return;
      begin();
      passCollected();
    }

    function passCollected(): void {
      for (const chunk of collected) {
        pass(chunk);
      }
      collected = [];
    }

    function passEvents(chunk: Buffer): void {
      for (const event of cutter?.push(chunk) ?? []) {
        begin();
        pass(event.bytes);
        send.eventForwarded(event.id);
      }
    }

    function pass(bytes: Buffer): void {
      if (send.answer.write(bytes)) return;
      exchange.pause();
      send.answer.onDrain(() => {
        exchange.resume();
      });
    }

    function settleDeclined(): void {
      const isOtherServer = isOtherIncarnation(facts, resolveServerName(send.server));
      settle({ kind: 'declined', status: head?.status ?? 0, isOtherServer });
    }

    function finish(): void {
      if (head === undefined) return;
      if (facts?.isDeclined === true) {
        settleDeclined();
        return;
      }
      if (!isGood()) {
        settle({ kind: 'failed', head, body: Buffer.concat(collected) });
        return;
      }
      if (cutter !== undefined && cutter.remainder().length > 0) {
        settle({ kind: 'lost', reason: 'the stream ended within an event' });
        return;
      }
      begin();
      passCollected();
      send.answer.finish();
      settle({ kind: 'finished', status: head.status });
    }
  });
}

/** Whether a server that declined is another incarnation than the one that was meant. */
export function isOtherIncarnation(facts: AnswerFacts | undefined, expected: string): boolean {
  return facts?.isDeclined === true && facts.serverId !== undefined && facts.serverId !== expected;
}

/** What makes an answer one that cannot be passed on; `undefined` for a sound one. */
function findFlaw(
  facts: AnswerFacts,
  head: AnswerHead,
  requestId: string | undefined,
): string | undefined {
  if (facts.isDeclined) return undefined;
  if (facts.requestId !== requestId) return 'the answer names another request';
  if (isSuccess(head.status) && !facts.isSigned) return 'the answer lacks the signature';
  if (isSuccess(head.status) && head.headers['content-encoding'] !== undefined) {
    return 'the answer has an encoding that was not asked for';
  }
  return undefined;
}

/** Whether an answer's status says that the request was served. */
export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
