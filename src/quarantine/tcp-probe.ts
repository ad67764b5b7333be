/**
 * Dials servers over TCP.
 */
import { connect } from 'node:net';
import type { ProbeAnswer, ServerProbe } from './crash-detector.js';

/** Timeout of a connection attempt, in ms. */
const DIAL_TIMEOUT_MS = 250;

/** Creates a TCP probe. */
export function createTcpProbe(): ServerProbe {
  return { dial };
}

function dial(address: string): Promise<ProbeAnswer> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });

    function finish(answer: ProbeAnswer): void {
      clearTimeout(timer);
      resolve(answer);
      socket.destroy();
    }

    const timer = setTimeout(() => {
      finish('silent');
    }, DIAL_TIMEOUT_MS);
    socket.once('connect', () => {
      finish('open');
    });
    // other errors say nothing about the server: the network path may be cut
    socket.on('error', (error: NodeJS.ErrnoException) => {
      finish(error.code === 'ECONNREFUSED' ? 'refused' : 'silent');
    });
  });
}
