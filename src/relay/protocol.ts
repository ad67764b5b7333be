/**
 * The wire protocol of callers and backend servers, implemented by the adapter to a platform. The
 * relay itself knows no header or field by name.
 */
import type { ServerSignals } from '../backpressure/index.js';
import type { Prompt } from '../scheduling/prompt.js';
import type { AnswerHead } from './exchange.js';

/** The head of a caller's request, decoded. */
export interface CallerHead {
  /** The caller's id for this attempt; `undefined` if it sent none. */
  requestId: string | undefined;
  host: string;
  /** How long the caller will wait from now, in milliseconds; `undefined` if it did not state it. */
  waitMs: number | undefined;
  prompt: Prompt | undefined;
  /** The last event that the caller received of an earlier answer; `undefined` on a first attempt. */
  lastEventId: string | undefined;
  /** The attempt that brought the first event of the stream that this request continues; `undefined` on a first
   * attempt. */
  resumes: string | undefined;
  /** Headers to forward to the backend server, alternating names and values. */
  forwarded: readonly string[];
}

/** A prefilled prompt, held by an engine until another engine fetches its KV cache. */
export interface PrefilledPrompt {
  /** `host:port` of the engine that prefilled it. */
  address: string;
  /** Identifies the prompt's KV cache at that engine. */
  handle: string;
}

/** What one send to a backend server adds to the caller's request. */
export interface SendTerms {
  /** The incarnation to run the request; any other declines it. */
  serverId: string;
  /** How long the server may take, in milliseconds. */
  timeLeftMs: number;
  /** From 0, most urgent, to 9; engines only. */
  urgency?: number | undefined;
  /** Prefill only, and hold the KV cache for another engine. */
  isPrefill?: boolean | undefined;
  /** Generate from a prompt that another engine has prefilled. */
  source?: PrefilledPrompt | undefined;
  /** Resume a stream after this event. */
  lastEventId?: string | undefined;
}

/** A server's load as reported in an answer, in requests. */
export interface ServerLoad {
  running: number;
  waiting: number;
  slots: number;
}

/** What the head of a backend server's answer states. */
export interface AnswerFacts {
  requestId: string | undefined;
  /** Whether the answer carries the server's signature. */
  isSigned: boolean;
  /** Whether the server declined the request, which did not run. */
  isDeclined: boolean;
  /** The incarnation that answered, if stated. */
  serverId: string | undefined;
  load: ServerLoad | undefined;
  /** The server's backpressure signals. */
  signals: ServerSignals;
}

/** The wire protocol of callers and backend servers. */
export interface BackendProtocol {
  /** Decodes the head of a caller's request. */
  readCaller(rawHeaders: readonly string[]): CallerHead;
  /** Headers of one send, alternating names and values. */
  sendHeaders(head: CallerHead, terms: SendTerms, bodyBytes: number): string[];
  readAnswer(head: AnswerHead): AnswerFacts;
  /** Whether callers take a status for the promise that their request did not run and never will. */
  promisesNotRun(status: number): boolean;
  /**
   * Headers of an answer to forward to the caller, alternating names and values.
   *
   * @param isLengthFixed whether the caller gets just the bytes whose length the head may state
   */
  answerHeaders(head: AnswerHead, isLengthFixed: boolean): string[];
  /** Headers of the gateway's own refusal or failure, alternating names and values. */
  refusalHeaders(requestId: string | undefined, retryAfterMs: number | undefined): string[];
  /** The handle in the answer to a prefill; `undefined` if there is none. */
  parseHandle(body: Buffer): string | undefined;
  /** Method and path that release a prefilled prompt. */
  releaseCall(prompt: PrefilledPrompt): { method: string; path: string };
}
