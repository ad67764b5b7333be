/**
 * What the relay needs to know of how callers and backend servers speak. The adapter to a platform
 * implements it; the relay itself knows no header and no field by name.
 */
import type { ServerSignals } from '../backpressure/index.js';
import type { Prompt } from '../scheduling/prompt.js';
import type { AnswerHead } from './exchange.js';

/** The head of a caller's request, decoded. */
export interface CallerHead {
  /** The caller's id of this attempt; `undefined` when it sent none. */
  requestId: string | undefined;
  host: string;
  /** How long the caller will wait from now, in milliseconds; `undefined` when it did not say. */
  waitMs: number | undefined;
  prompt: Prompt | undefined;
  /** The last event that the caller has of an earlier answer; `undefined` on a first attempt. */
  lastEventId: string | undefined;
  /** Headers that go on to the backend server, names and values by turns. */
  forwarded: readonly string[];
}

/** A prompt that was read and waits at an engine for its generation. */
export interface PrefilledPrompt {
  /** `host:port` of the engine that read it. */
  address: string;
  /** Names the prompt's KV cache at that engine. */
  handle: string;
}

/** What one send to a backend server says beside the caller's own request. */
export interface SendTerms {
  /** The incarnation that may take it; any other declines. */
  serverId: string;
  /** How long the server may take, in milliseconds. */
  timeLeftMs: number;
  /** From 0, most urgent, to 9; engines only. */
  urgency?: number | undefined;
  /** Only read the prompt and keep its KV cache for another engine. */
  isPrefill?: boolean | undefined;
  /** Continue from a prompt that was read elsewhere. */
  source?: PrefilledPrompt | undefined;
  /** Continue a stream after this event. */
  lastEventId?: string | undefined;
}

/** How many requests a server has, as of an answer. */
export interface ServerLoad {
  running: number;
  waiting: number;
  slots: number;
}

/** What the head of a backend server's answer says. */
export interface AnswerFacts {
  requestId: string | undefined;
  /** The server vouches for the answer. */
  isSigned: boolean;
  /** The request did not run. */
  isDeclined: boolean;
  /** The incarnation that answered, where it says so. */
  serverId: string | undefined;
  load: ServerLoad | undefined;
  /** What the server asks of those that send to it. */
  signals: ServerSignals;
}

/** How callers and backend servers speak. */
export interface BackendProtocol {
  /** Decodes the head of a caller's request. */
  readCaller(rawHeaders: readonly string[]): CallerHead;
  /** Headers of one send, names and values by turns. */
  sendHeaders(head: CallerHead, terms: SendTerms, bodyBytes: number): string[];
  readAnswer(head: AnswerHead): AnswerFacts;
  /** Headers of an answer that go on to the caller, names and values by turns. */
  answerHeaders(head: AnswerHead): string[];
  /** Headers of a refusal or failure of the gateway's own. */
  refusalHeaders(requestId: string | undefined, retryAfterMs: number | undefined): string[];
  /** The handle in the answer to a prefill; `undefined` when there is none. */
  parseHandle(body: Buffer): string | undefined;
  /** Method and path that free a read prompt. */
  releaseCall(prompt: PrefilledPrompt): { method: string; path: string };
}
