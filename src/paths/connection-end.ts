/**
 * Tells how a connection ended. An answer without a length is complete only if its connection was closed in order.
 */
import type { Duplex } from 'node:stream';

/**
 * Calls `action` before other listeners where the end of a connection is a reset. If a reset arrives together with
 * data, libuv reports the end of the stream instead of an error; a reset connection has no remote address.
 */
export function onResetAtEnd(
  connection: Duplex & { remoteAddress?: string | undefined },
  action: () => void,
): void {
  connection.prependOnceListener('end', () => {
    if (connection.remoteAddress === undefined) action();
  });
}

/** Has the code of a reset by the other end, so that both are handled alike. */
export function createResetError(message: string): Error {
  return Object.assign(new Error(message), { code: 'ECONNRESET' });
}
