/**
 * Opens TCP connections and says how an attempt that failed did so. A connection that is refused shows that nobody
 * listens or that the path refuses; silence shows nothing of the other end.
 */
import { connect, type Socket } from 'node:net';
import { Err, Ok, type Result } from 'ts-results-es';
import { setPeerTimeout, type Clock } from '../task/index.js';

/** How an attempt to connect failed. */
export interface DialFailure {
  /** `unavailable`: whoever was to connect in this gateway's place did not try. */
  kind: 'refused' | 'silent' | 'unavailable';
  reason: string;
}

/** An attempt to connect. */
export interface Dial<Stream> {
  /** Settles once; never rejects. */
  result: Promise<Result<Stream, DialFailure>>;
  /** Gives up; a connection that is open by then is not closed. */
  cancel(): void;
}

/**
 * Connects to an address.
 *
 * @param clock the gateway's clock
 * @param address `host:port`
 * @param timeoutMs how long the attempt may take, in milliseconds
 */
export function dialAddress(clock: Clock, address: string, timeoutMs: number): Dial<Socket> {
  const [host = '', port = ''] = address.split(':');
  const socket = connect({ host, port: Number(port), noDelay: true });
  let isOpen = false;
  const result = new Promise<Result<Socket, DialFailure>>((resolve) => {
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
    socket.once('connect', () => {
      isOpen = true;
      timer.cancel();
      socket.off('error', failed);
      socket.off('close', closed);
      resolve(Ok(socket));
    });
  });
  return {
    result,
    cancel() {
      if (!isOpen) socket.destroy();
    },
  };
}

/** Where errors of a stream that nobody uses any more go. */
export function ignoreError(): void {
  // the stream is closed; there is nothing left to end
}
