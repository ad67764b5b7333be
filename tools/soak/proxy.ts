/**
 * A loopback proxy that disturbs the connections through it: delays, resets, silence one way or both.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';

/** What a proxy does to its connections. */
export type Disturbance = 'none' | 'delay' | 'reset' | 'mute-requests' | 'mute-answers' | 'refuse';

/** Delay of each piece while a proxy delays, in ms: far beyond a way on loopback. */
const DELAY_MS = 120;

/** A proxy before one address. */
export interface DisturbingProxy {
  address: string;
  disturb(next: Disturbance): void;
  close(): Promise<void>;
}

/**
 * Starts a proxy on a free port.
 *
 * @param target `host:port` behind it
 */
export async function startProxy(target: string): Promise<DisturbingProxy> {
  const [host = '', port = ''] = target.split(':');
  const sockets = new Set<Socket>();
  let disturbance: Disturbance = 'none';

  function join(from: Socket, to: Socket, muted: Disturbance): void {
    from.on('data', (chunk) => {
      if (disturbance === muted) return;
      if (disturbance === 'delay') setTimeout(() => to.write(chunk), DELAY_MS);
      else to.write(chunk);
    });
    from.on('end', () => to.end());
    from.on('error', () => to.destroy());
    from.on('close', () => {
      sockets.delete(from);
      to.destroy();
    });
    sockets.add(from);
  }

  const server: Server = createServer((near) => {
    if (disturbance === 'refuse') {
      near.resetAndDestroy();
      return;
    }
    const far = connect(Number(port), host);
    join(near, far, 'mute-requests');
    join(far, near, 'mute-answers');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const bound = server.address();
  const own = bound === null || typeof bound === 'string' ? 0 : bound.port;

  return {
    address: `127.0.0.1:${own}`,
    disturb(next) {
      disturbance = next;
      if (next !== 'reset') return;
      for (const socket of sockets) {
        socket.resetAndDestroy();
      }
    },
    close() {
      for (const socket of sockets) {
        socket.destroy();
      }
      return new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
      });
    },
  };
}
