/**
 * Keeps connections for further requests, and closes an idle one that receives data: the data belongs to no request, and
 * nobody would stop reading it.
 */
import { Agent } from 'node:http';
import type { Socket } from 'node:net';

/** An agent that closes idle connections on which data arrives. */
export class IdleGuardAgent extends Agent {
  readonly #unusable = new WeakSet<Socket>();
  readonly #idleListeners = new WeakMap<Socket, () => void>();

  override keepSocketAlive(socket: Socket): boolean {
    if (this.#unusable.has(socket) || socket.readableLength > 0) return false;
    // returns whether the connection may be kept, which its types leave out
    const keep: (kept: Socket) => unknown = super.keepSocketAlive.bind(this);
    if (keep(socket) === false) return false;
    const closeUnusable = (): void => {
      this.#unusable.add(socket);
      socket.destroy();
    };
    this.#idleListeners.set(socket, closeUnusable);
    socket.on('data', closeUnusable);
    return true;
  }

  override reuseSocket(socket: Socket, request: never): void {
    const closeUnusable = this.#idleListeners.get(socket);
    if (closeUnusable !== undefined) socket.off('data', closeUnusable);
    super.reuseSocket(socket, request);
  }
}
