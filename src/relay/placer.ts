/**
 * How a request finds the backend server for its next send.
 */
import type { RegisteredServer } from '../fleet/index.js';
import type { WatchedSend } from '../quarantine/index.js';
import type { Clock } from '../task/index.js';
import type { ExchangeReceiver, Exchange, AnswerHead } from './exchange.js';
import type { ExchangeOutcome } from './health-outcome.js';
import type { AnswerFacts, BackendProtocol, PrefilledPrompt, SendTerms } from './protocol.js';
import type { PrefillOutcome } from './prefill.js';
import type { SendOutcome } from './send.js';

/** A server for the next send. */
export interface PlacedServer {
  kind: 'placed';
  server: RegisteredServer;
  /** The prompt as read by another engine. */
  source: PrefilledPrompt | undefined;
  urgency: number | undefined;
}

/** What came of looking for a server. */
export type PlacementResult =
  | PlacedServer
  | { kind: 'refused'; reason: string; retryAfterMs: number; backlogMs: number }
  | { kind: 'aborted' };

/** Finds servers for one request. */
export interface Placer {
  place(): Promise<PlacementResult>;
  /** The answer to a placed request has begun. */
  answerBegun(): void;
  /** A send to a placed server has ended. */
  sendEnded(placed: PlacedServer, outcome: SendOutcome): void;
  /** The request has ended; gives back whatever is still held for it. */
  close(): void;
}

/** What placers need of the request they place. */
export interface PlacementContext {
  clock: Clock;
  protocol: BackendProtocol;
  requestId: string | undefined;
  service: string;
  rank: number;
  /** Longest pause between two events, in milliseconds. */
  maxEventGapMs: number;
  isCallerRetry: boolean;
  signal: AbortSignal;
  aimLeftMs(): number;
  timeLeftMs(): number;
  find(id: string): RegisteredServer | undefined;
  /** Why a server is to get nothing now, if so. */
  withholdReason(server: RegisteredServer): string | undefined;
  /** Servers that have asked this gateway to pause. */
  pausedServers(): readonly string[];
  /** Time until the first pause that the service's servers asked for is over, in ms; 0 where there is none. */
  msUntilResumed(): number;
  /** Servers of the service that this gateway leaves alone for now. */
  avoidedServers(): string[];
  /** Starts an exchange for this request with a server. */
  start(
    server: RegisteredServer,
    terms: Pick<SendTerms, 'isPrefill' | 'urgency'>,
    receiver: ExchangeReceiver,
  ): Exchange;
  /** The request goes to a server: what follows may be the server's end. */
  watchSend(server: RegisteredServer): WatchedSend;
  /** A send that counts against the route's limit was made. */
  countAttempt(): void;
  /** Whether the route and the budget allow another send; takes it from the budget. */
  mayRetry(reason: string): boolean;
  /** Frees a read prompt that nobody will take, at the server that has it. */
  release(prompt: PrefilledPrompt, server: RegisteredServer): void;
  /** Hears how the reading of the prompt at a server ended. */
  prefillEnded(server: RegisteredServer, outcome: PrefillOutcome): void;
  /** Hears what the head of a server's answer says. */
  headReceived(server: RegisteredServer, head: AnswerHead, facts: AnswerFacts): void;
  /** Takes in what an exchange said of a server. */
  recordHealth(server: RegisteredServer, end: ExchangeOutcome, isOtherServer: boolean): void;
}
