/**
 * Makes a server accept all connections that wait, in each turn in which it accepts one. Otherwise, callers on new
 * connections wait for as many turns of a busy event loop as there are of them.
 */
import { closeSync } from 'node:fs';
import type { Server } from 'node:http';
import { Socket, type ListenOptions } from 'node:net';
import { setTimeout } from 'node:timers/promises';
import type { Log } from '../events/index.js';
import { loadNativeAccept, type NativeAccept } from './native-accept.js';

/** Longest wait for an address that is taken, in ms: longer than a process that was there before takes to end. */
const LONGEST_WAIT_MS = 30_000;
/** Time between two tries to take it, and between two words on that, in ms. */
const RETRY_MS = 50;
const WORD_MS = 5_000;
/** Code of the system's error. */
const ADDRESS_TAKEN = 'EADDRINUSE';

/** Connections accepted in one turn, so that open ones are read again before a burst of new ones has ended. */
const MAX_PER_TURN = 256;

/** What accepting needs. */
export interface AcceptWaitingParts {
  log: Pick<Log, 'write'>;
  /** No connection waits any more. */
  queueEmptied?: () => void;
}

/** A server with its descriptor, which Node does not declare. */
interface ServerWithHandle {
  _handle?: { fd?: unknown } | null;
}

/**
 * Makes a server listen and accept all connections that wait. Connections accepted this way are given to the server's
 * listeners like all others. An address that is taken is waited for, as the process before may still be there.
 *
 * @param server an HTTP server; its `close` waits only for the connections that it accepted by itself
 * @param address where it listens; rejects with the system's error if it cannot, or not in time
 * @param parts the log, and what hears of an empty queue
 */
export async function listenAccepting(
  server: Server,
  address: ListenOptions,
  parts: AcceptWaitingParts,
): Promise<void> {
  await acceptWaiting(server, parts);
  const startedAt = performance.now();
  let wordAt = Number.NEGATIVE_INFINITY;
  for (;;) {
    const error = await tryListening(server, address);
    if (error === undefined) return;
    const now = performance.now();
    if (error.code !== ADDRESS_TAKEN || now - startedAt >= LONGEST_WAIT_MS) throw error;
    if (now - wordAt >= WORD_MS) {
      const waitedMs = Math.round(now - startedAt);
      parts.log.write('portTaken', { error: String(error), waitedMs });
      wordAt = now;
    }
    await setTimeout(RETRY_MS);
  }
}

/** Makes a server listen; resolves with the system's error if it cannot. */
function tryListening(
  server: Server,
  address: ListenOptions,
): Promise<NodeJS.ErrnoException | undefined> {
  return new Promise((resolve) => {
    server.once('error', resolve);
    server.listen(address, () => {
      server.off('error', resolve);
      resolve(undefined);
    });
  });
}

async function acceptWaiting(server: Server, parts: AcceptWaitingParts): Promise<void> {
  const { log } = parts;
  const accept = await loadNativeAccept(log);
  if (accept === undefined) return;
  let isAccepting = false;

  server.on('connection', () => {
    const listeningFd = readDescriptor(server);
    if (isAccepting || listeningFd === undefined) return;
    isAccepting = true;
    try {
      acceptAll(accept, listeningFd);
    } finally {
      isAccepting = false;
    }
  });

  function acceptAll(take: NativeAccept, listeningFd: number): void {
    for (let count = 0; count < MAX_PER_TURN; count += 1) {
      const fd = take(listeningFd);
      if (fd === 'queue-empty') parts.queueEmptied?.();
      // Node meets a lasting failure itself, with the next connection
      if (fd === 'queue-empty' || fd === 'failed') return;
      const socket = openSocket(fd);
      if (socket !== undefined) server.emit('connection', socket);
    }
  }

  function openSocket(fd: number): Socket | undefined {
    try {
      // half open, as HTTP servers open them: a caller may end its side before it has its answer
      const socket = new Socket({ fd, allowHalfOpen: true, readable: true, writable: true });
      return socket.setNoDelay(true);
    } catch (error) {
      closeSync(fd);
      log.write('connectionNotOpened', { reason: String(error) });
      return undefined;
    }
  }
}

function readDescriptor(server: Server): number | undefined {
  const fd = (server as ServerWithHandle)._handle?.fd;
  return typeof fd === 'number' && fd >= 0 ? fd : undefined;
}
