/**
 * Selects the backend server for each send of a request.
 */
import type { RegisteredServer } from '../fleet/index.js';
import type { WatchedAttempt } from '../quarantine/index.js';
import type { Clock } from '../task/index.js';
import type { ExchangeReceiver, Exchange, AnswerHead } from './exchange.js';
import type { ExchangeOutcome } from './health-outcome.js';
import type { AnswerFacts, BackendProtocol, PrefilledPrompt, SendTerms } from './protocol.js';
import type { PrefillOutcome } from './prefill.js';
import type { SendOutcome } from './send.js';

/** The server selected for the next send. */
export interface PlacedServer {
  kind: 'placed';
  server: RegisteredServer;
  /** The prompt, if another engine has prefilled it. */
  source: PrefilledPrompt | undefined;
  /** From 0, most urgent, to 9; engines only. */
  urgency: number | undefined;
}

/** The result of selecting a server. */
export type PlacementResult =
  | PlacedServer
  | { kind: 'refused'; reason: string; retryAfterMs: number; backlogMs: number }
  | { kind: 'aborted' };

/** Selects servers for one request. */
export interface Placer {
  place(): Promise<PlacementResult>;
  /** Called when the answer to a send has begun. */
  answerBegun(): void;
  /** Called when a send to a placed server has ended. */
  sendEnded(placed: PlacedServer, outcome: SendOutcome): void;
  /** Called when the request has ended; releases what is still held for it. */
  close(): void;
}

/** What placers need to know and do for a request. */
export interface PlacementContext {
  clock: Clock;
  protocol: BackendProtocol;
  requestId: string | undefined;
  service: string;
  rank: number;
  /** Inter-token latency objective: longest time between two events, in milliseconds. */
  maxEventGapMs: number;
  /** Whether the caller is retrying after a refusal. */
  isCallerRetry: boolean;
  signal: AbortSignal;
  /** Time since the request arrived, in milliseconds. */
  elapsedMs(): number;
  /** Time left until the first event is due, in milliseconds. */
  aimLeftMs(): number;
  /** Time left until the request's time limit, in milliseconds. */
  timeLeftMs(): number;
  find(id: string): RegisteredServer | undefined;
  /** The software version that servers have to have, if the request's stream has begun. */
  requiredVersion(): string | undefined;
  /** The reason not to send to a server now, if there is one. */
  withholdReason(server: RegisteredServer): string | undefined;
  /** Servers that have asked this gateway for a pause. */
  pausedServers(): readonly string[];
  /** Time until the first pause among the service's servers ends, in ms; 0 if none is paused. */
  msUntilResumed(): number;
  /** Servers of the service to use only if there is no other. */
  avoidedServers(): string[];
  /** Starts an exchange with a server for this request that does not run it: its prefill. */
  start(
    server: RegisteredServer,
    terms: Pick<SendTerms, 'isPrefill' | 'urgency'>,
    receiver: ExchangeReceiver,
  ): Exchange;
  /** Registers a send with the quarantine, which may attribute a crash of the server to it. */
  watchSend(server: RegisteredServer): WatchedAttempt;
  /** Counts a send towards the route's limit. */
  countAttempt(): void;
  /** Whether the route and the retry budget allow another send; if so, takes it from the budget. */
  mayRetry(reason: string): boolean;
  /** Renews what pays for the next send, right before it; false if the budget is spent meanwhile. */
  renewPermits(): boolean;
  /** Releases an unused prefilled prompt at the server that holds it. */
  release(prompt: PrefilledPrompt, server: RegisteredServer): void;
  /** Called when a prefill at a server has ended. */
  prefillEnded(server: RegisteredServer, outcome: PrefillOutcome): void;
  /** Called when the head of a server's answer has arrived. */
  headReceived(server: RegisteredServer, head: AnswerHead, facts: AnswerFacts): void;
  /** Updates a server's health from the outcome of an exchange. */
  recordHealth(server: RegisteredServer, outcome: ExchangeOutcome, isOtherServer: boolean): void;
}
