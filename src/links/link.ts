/**
 * One authenticated link to another node: notices one way, queries with one answer each. Nothing is
 * passed on before both ends have proved that they know the peer key.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { match } from 'ts-pattern';
import type { RawData, WebSocket } from 'ws';
import { createUnknownOutcome, createRefusal, type Failure } from '../errors/index.js';
import type { Clock, Timer } from '../task/index.js';
import { createNonce, createProof, matchesProof, type End } from './authentication.js';
import { decodeFrame, encodeFrame } from './codec.js';
import type { Answer, Frame, Notice, Query } from './messages.js';

const HANDSHAKE_TIMEOUT_MS = 2_000;

/** Why a link ended before or after it was authenticated. */
export type LinkEnd = 'closed' | 'unauthenticated' | 'malformed';

/** What the owner of a link hears from it. */
export interface LinkOwner {
  opened(link: Link): void;
  ended(link: Link, reason: LinkEnd): void;
  noticeReceived(link: Link, notice: Notice): void;
  queryReceived(link: Link, query: Query): Promise<Answer>;
  transferred(direction: 'sent' | 'received', purpose: string, bytes: number): void;
}

/** One link to another node. */
export interface Link {
  /** The other node's name; empty until it is authenticated. */
  peer(): string;
  isOpen(): boolean;
  /** Whether a query of this end waits for its answer. */
  isBusy(): boolean;
  /** When something last arrived or was sent, on the owner's clock. */
  lastUsedAt(): number;
  notify(notice: Notice): void;
  query(query: Query, timeoutMs: number): Promise<Result<Answer, Failure>>;
  close(): void;
}

/** What a link is made of. */
export interface LinkParts {
  socket: WebSocket;
  end: End;
  node: string;
  key: string;
  clock: Clock;
  owner: LinkOwner;
}

interface PendingQuery {
  settle(result: Result<Answer, Failure>): void;
  timer: Timer;
}

/**
 * Puts a link on a socket and starts its handshake.
 *
 * @param parts the socket, this end and its owner
 */
export function createLink(parts: LinkParts): Link {
  const { socket, end, node, key, clock, owner } = parts;
  const ownNonce = createNonce();
  const pending = new Map<number, PendingQuery>();
  let otherNonce = '';
  let peer = '';
  let open = false;
  let ended = false;
  let nextQueryId = 1;
  let lastHeardAt = clock.now();
  let lastUsedAt = lastHeardAt;

  const handshakeTimer = clock.after(HANDSHAKE_TIMEOUT_MS, () => {
    if (!open) finish('unauthenticated');
  });

  const link: Link = {
    peer: () => peer,
    isOpen: () => open && !ended,
    isBusy: () => pending.size > 0,
    lastUsedAt: () => Math.max(lastUsedAt, lastHeardAt),
    notify(notice) {
      if (link.isOpen()) transmit({ type: 'notice', notice }, notice.kind);
    },
    query,
    close: () => {
      finish('closed');
    },
  };

  function handshake() {
    return end === 'server'
      ? { serverNonce: ownNonce, clientNonce: otherNonce }
      : { serverNonce: otherNonce, clientNonce: ownNonce };
  }

  function transmit(frame: Frame, purpose: string): void {
    const bytes = encodeFrame(frame);
    lastUsedAt = clock.now();
    socket.send(bytes);
    owner.transferred('sent', purpose, bytes.length);
  }

  function query(message: Query, timeoutMs: number): Promise<Result<Answer, Failure>> {
    if (!link.isOpen()) return Promise.resolve(Err(createUnreachable(peer, 'not-run')));
    const id = nextQueryId++;
    return new Promise((resolve) => {
      const timer = clock.after(timeoutMs, () => {
        pending.delete(id);
        resolve(Err(createUnreachable(peer, 'unknown')));
      });
      pending.set(id, { settle: resolve, timer });
      transmit({ type: 'query', id, query: message }, message.kind);
    });
  }

  function finish(reason: LinkEnd): void {
    if (ended) return;
    ended = true;
    handshakeTimer.cancel();
    socket.terminate();
    for (const waiting of pending.values()) {
      waiting.timer.cancel();
      waiting.settle(Err(createUnreachable(peer, 'unknown')));
    }
    pending.clear();
    owner.ended(link, reason);
  }

  function receive(data: RawData): void {
    const bytes = data as Buffer;
    const frame = decodeFrame(bytes);
    if (frame === undefined) {
      finish('malformed');
      return;
    }
    lastHeardAt = clock.now();
    if (open) {
      receiveOpen(frame, bytes.length);
      return;
    }
    receiveHandshake(frame);
  }

  function receiveHandshake(frame: Frame): void {
    match(frame)
      .with({ type: 'challenge' }, ({ nonce }) => {
        if (end !== 'client' || otherNonce !== '') {
          finish('unauthenticated');
          return;
        }
        otherNonce = nonce;
        const proof = createProof(key, 'client', node, handshake());
        transmit({ type: 'proof', node, nonce: ownNonce, proof }, 'handshake');
      })
      .with({ type: 'proof' }, (message) => {
        otherNonce = message.nonce;
        const expected = createProof(key, 'client', message.node, handshake());
        if (end !== 'server' || !matchesProof(expected, message.proof)) {
          finish('unauthenticated');
          return;
        }
        const proof = createProof(key, 'server', node, handshake());
        transmit({ type: 'welcome', node, proof }, 'handshake');
        becomeOpen(message.node);
      })
      .with({ type: 'welcome' }, (message) => {
        const expected = createProof(key, 'server', message.node, handshake());
        if (end !== 'client' || !matchesProof(expected, message.proof)) {
          finish('unauthenticated');
          return;
        }
        becomeOpen(message.node);
      })
      .otherwise(() => {
        finish('unauthenticated');
      });
  }

  function becomeOpen(name: string): void {
    peer = name;
    open = true;
    handshakeTimer.cancel();
    owner.opened(link);
  }

  function receiveOpen(frame: Frame, bytes: number): void {
    match(frame)
      .with({ type: 'notice' }, ({ notice }) => {
        owner.transferred('received', notice.kind, bytes);
        owner.noticeReceived(link, notice);
      })
      .with({ type: 'query' }, (message) => {
        owner.transferred('received', message.query.kind, bytes);
        void reply(message.id, message.query);
      })
      .with({ type: 'answer' }, (message) => {
        owner.transferred('received', message.answer.kind, bytes);
        settle(message.id, message.answer);
      })
      .otherwise(() => {
        finish('malformed');
      });
  }

  async function reply(id: number, message: Query): Promise<void> {
    const answer = await owner.queryReceived(link, message);
    if (link.isOpen()) transmit({ type: 'answer', id, answer }, answer.kind);
  }

  function settle(id: number, answer: Answer): void {
    const waiting = pending.get(id);
    if (waiting === undefined) return;
    pending.delete(id);
    waiting.timer.cancel();
    waiting.settle(Ok(answer));
  }

  socket.on('message', receive);
  socket.on('close', () => {
    finish('closed');
  });
  socket.on('error', () => {
    finish('closed');
  });
  if (end === 'server') transmit({ type: 'challenge', nonce: ownNonce }, 'handshake');
  return link;
}

function createUnreachable(peer: string, outcome: 'not-run' | 'unknown'): Failure {
  const detail = {
    code: 'peer-unreachable' as const,
    message: 'the node did not answer; another one will be asked',
    step: 'link.call' as const,
    peer,
  };
  return outcome === 'not-run' ? createRefusal(detail) : createUnknownOutcome(detail);
}
