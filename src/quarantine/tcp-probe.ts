/**
 * Dials servers over TCP.
 */
import { connect } from 'node:net';
import type { ProbeAnswer, ServerProbe } from './crash-detector.js';

/** How long a server may take to accept a connection, in ms: within a region it takes a few. */
const DIAL_TIMEOUT_MS = 250;

/** Creates a probe. */
export function createTcpProbe(): ServerProbe {
  return { dial };
}

function dial(address: string): Promise<ProbeAnswer> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });

    function settle(answer: ProbeAnswer): void {
      clearTimeout(timer);
      resolve(answer);
      socket.destroy();
    }

    const timer = setTimeout(() => {
      settle('silent');
    }, DIAL_TIMEOUT_MS);
    socket.once('connect', () => {
      settle('open');
    });
    // any other error says nothing of the server: the way to it may be cut
    socket.on('error', (error: NodeJS.ErrnoException) => {
      settle(error.code === 'ECONNREFUSED' ? 'refused' : 'silent');
    });
  });
}
