/**
 * How a request finds the backend server for its next send.
 */
import type { RegisteredServer } from '../fleet/index.js';
import type { WatchedAttempt } from '../quarantine/index.js';
import type { Clock } from '../task/index.js';
import type { ExchangeReceiver, Exchange, IncomingHead } from './exchange.js';
import type { ExchangeEnd } from './health-outcome.js';
import type { AnswerFacts, BackendProtocol, ReadPrompt, SendTerms } from './protocol.js';
import type { ReadOutcome } from './read-prompt.js';
import type { SendOutcome } from './send.js';

/** A server for the next send. */
export interface PlacedServer {
  kind: 'placed';
  server: RegisteredServer;
  /** The prompt as read by another engine. */
  source: ReadPrompt | undefined;
  urgency: number | undefined;
}

/** What came of looking for a server. */
export type Placing =
  | PlacedServer
  | { kind: 'refused'; reason: string; retryAfterMs: number; backlogMs: number }
  | { kind: 'aborted' };

/** Finds servers for one request. */
export interface Placer {
  place(): Promise<Placing>;
  /** The answer to a placed request has begun. */
  begun(): void;
  /** A send to a placed server has ended. */
  sent(placed: PlacedServer, outcome: SendOutcome): void;
  /** The request has ended; gives back whatever is still held for it. */
  close(): void;
}

/** What placers need of the request they place. */
export interface PlacingContext {
  clock: Clock;
  protocol: BackendProtocol;
  requestId: string | undefined;
  service: string;
  rank: number;
  /** Longest pause between two events, in milliseconds. */
  pauseMs: number;
  isReturn: boolean;
  signal: AbortSignal;
  aimLeftMs(): number;
  timeLeftMs(): number;
  find(id: string): RegisteredServer | undefined;
  /** Why a server is to get nothing now, if so. */
  barrier(server: RegisteredServer): string | undefined;
  /** Servers that have asked this gateway to pause. */
  paused(): readonly string[];
  /** Time until the first pause that the service's servers asked for is over, in ms; 0 where there is none. */
  msUntilResumed(): number;
  /** Servers of the service that this gateway leaves alone for now. */
  avoided(): string[];
  /** Starts an exchange for this request with a server. */
  start(
    server: RegisteredServer,
    terms: Pick<SendTerms, 'isPrefill' | 'urgency'>,
    receiver: ExchangeReceiver,
  ): Exchange;
  /** The request goes to a server: what follows may be the server's end. */
  sent(server: RegisteredServer): WatchedAttempt;
  /** A send that counts against the route's limit was made. */
  countAttempt(): void;
  /** Whether the route and the budget allow another send; takes it from the budget. */
  mayAskAgain(reason: string): boolean;
  /** Frees a read prompt that nobody will take, at the server that has it. */
  release(prompt: ReadPrompt, server: RegisteredServer): void;
  /** Hears how the reading of the prompt at a server ended. */
  readEnded(server: RegisteredServer, outcome: ReadOutcome): void;
  /** Hears what the head of a server's answer says. */
  heard(server: RegisteredServer, head: IncomingHead, facts: AnswerFacts): void;
  /** Takes in what an exchange said of a server. */
  judge(server: RegisteredServer, end: ExchangeEnd, isOtherServer: boolean): void;
}
