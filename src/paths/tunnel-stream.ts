/**
 * One end of a tunnel: the bytes of a connection to a backend server, carried over a WebSocket between two gateways.
 * The close code 1000 stands for the orderly end of that connection; a WebSocket that ends in any other way, as when
 * the gateway in between dies, is a reset, so that a truncated answer never looks complete.
 */
import { Duplex } from 'node:stream';
import type { WebSocket } from 'ws';
import { type RawData } from 'ws';
import { createResetError } from './connection-end.js';

/** Close code of an orderly end. */
const ORDERLY_CLOSE = 1_000;

/** Largest piece of a connection that is sent at once, in bytes: the other end receives a piece whole before it passes
 * it on. */
export const MAX_PIECE_BYTES = 64 * 1024;

type Callback = (error?: Error | null) => void;

/** A stream over an open WebSocket; in the HTTP client it takes the place of a socket. */
export class TunnelStream extends Duplex {
  readonly #webSocket: WebSocket;
  #idleTimer: NodeJS.Timeout | undefined;
  /** Idle timeout, in ms; 0 for none. */
  timeout = 0;
  /** Whether the tunnel should not be used again, since the gateway that carries it stops. */
  isRetiring = false;
  /** Present while the connection was not reset, as with a socket. */
  readonly remoteAddress = 'tunnel';

  constructor(webSocket: WebSocket) {
    super({ allowHalfOpen: false });
    this.#webSocket = webSocket;
    webSocket.on('message', (data: RawData) => {
      this.#idleTimer?.refresh();
      if (!this.push(data)) webSocket.pause();
    });
    webSocket.on('error', (error) => this.destroy(error));
    webSocket.on('close', (code) => {
      if (code === ORDERLY_CLOSE) this.push(null);
      else this.destroy(createResetError('the tunnel was reset'));
    });
  }

  override _read(): void {
    if (this.#webSocket.isPaused) this.#webSocket.resume();
  }

  override _write(chunk: Buffer, encoding: BufferEncoding, callback: Callback): void {
    this.#idleTimer?.refresh();
    const rest = chunk.subarray(MAX_PIECE_BYTES);
    const sent: Callback = (error) => {
      if (error != null || rest.length === 0) callback(error);
      else this._write(rest, encoding, callback);
    };
    this.#webSocket.send(chunk.subarray(0, MAX_PIECE_BYTES), sent);
  }

  override _final(callback: Callback): void {
    this.#webSocket.close(ORDERLY_CLOSE);
    callback();
  }

  override _destroy(error: Error | null, callback: Callback): void {
    clearTimeout(this.#idleTimer);
    this.#webSocket.terminate();
    callback(error);
  }

  /** Emits `timeout` after so many milliseconds without traffic, as a socket does. */
  setTimeout(timeoutMs: number): this {
    this.timeout = timeoutMs;
    clearTimeout(this.#idleTimer);
    this.#idleTimer = undefined;
    if (timeoutMs > 0 && !this.destroyed)
      this.#idleTimer = setTimeout(() => this.emit('timeout'), timeoutMs).unref();
    return this;
  }

  setKeepAlive(): this {
    return this;
  }

  setNoDelay(): this {
    return this;
  }

  ref(): this {
    return this;
  }

  unref(): this {
    return this;
  }
}
