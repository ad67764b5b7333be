/**
 * Opens TCP connections and says how an attempt that failed did so. A connection that is refused shows that nobody
 * listens or that the path refuses; silence shows nothing of the other end.
 */
import { connect, type Socket } from 'node:net';
import { Err, Ok, type Result } from 'ts-results-es';
import { setPeerTimeout, type Clock } from '../task/index.js';

const MAX_PORT = 65_535;

/** How an attempt to connect failed. */
export interface DialFailure {
  /** `unavailable`: whoever was to connect in this gateway's place did not try. */
  kind: 'refused' | 'silent' | 'unavailable';
  reason: string;
}

/**
 * Connects to an address.
 *
 * @param clock the gateway's clock
 * @param address `host:port`
 * @param timeoutMs how long the attempt may take, in milliseconds
 * @returns never rejects
 */
export function dialAddress(
  clock: Clock,
  address: string,
  timeoutMs: number,
): Promise<Result<Socket, DialFailure>> {
  const [host = '', port = ''] = address.split(':');
  if (!isPort(Number(port)))
    return Promise.resolve(Err({ kind: 'silent', reason: `${address} is no address` }));
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port), noDelay: true });
    const timer = setPeerTimeout(clock, timeoutMs, () => {
      fail('silent', `no connection within ${Math.round(timeoutMs)} ms`);
    });

    function fail(kind: DialFailure['kind'], reason: string): void {
      timer.cancel();
      resolve(Err({ kind, reason }));
      socket.destroy();
    }

    function failed(error: NodeJS.ErrnoException): void {
      const isRefused = error.code === 'ECONNREFUSED' || error.code === 'ECONNRESET';
      fail(isRefused ? 'refused' : 'silent', error.code ?? error.message);
    }

    function closed(): void {
      fail('silent', 'the attempt was given up');
    }

    socket.on('error', failed);
    socket.on('close', closed);
    // whoever takes the socket may be gone when it fails
    socket.on('error', ignoreError);
    socket.once('connect', () => {
      timer.cancel();
      socket.off('error', failed);
      socket.off('close', closed);
      resolve(Ok(socket));
    });
  });
}

function isPort(port: number): boolean {
  return Number.isInteger(port) && port > 0 && port <= MAX_PORT;
}

/** Hears the errors of a stream for which nobody else may be listening; an error that nobody hears ends the process. */
export function ignoreError(): void {
  // the stream is closed by the error, which is what its users see
}
