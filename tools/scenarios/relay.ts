/**
 * Small TCP relays between a node and what it speaks to. A cut relay holds bytes back in both
 * directions and passes them on when the cut ends, as a network partition does: what was under way
 * arrives late.
 */
import { createConnection, createServer, type AddressInfo, type Socket } from 'node:net';

/** A relay to one address. */
export interface Relay {
  /** `host:port` on which it listens. */
  readonly address: string;
  /** Holds back the connections that this names by their source port; all when absent. */
  cut(isHeld?: (sourcePort: number) => boolean): void;
  restore(): void;
  close(): Promise<void>;
}

interface Pair {
  near: Socket;
  far: Socket;
}

/**
 * Starts a relay on a free port.
 *
 * @param target `host:port` that it passes everything on to
 */
export async function createRelay(target: string): Promise<Relay> {
  const [host = '', port = ''] = target.split(':');
  const pairs = new Set<Pair>();
  let isHeld: ((sourcePort: number) => boolean) | undefined;

  function hold(pair: Pair): void {
    pair.near.pause();
    pair.far.pause();
  }

  function accept(near: Socket): void {
    const far = createConnection({ host, port: Number(port) });
    const pair = { near, far };
    pairs.add(pair);
    join(near, far);
    join(far, near);
    const forget = () => pairs.delete(pair);
    near.on('close', forget);
    if (isHeld?.(near.remotePort ?? 0) === true) hold(pair);
  }

  const server = createServer({ noDelay: true }, accept);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const bound = server.address() as AddressInfo;

  return {
    address: `127.0.0.1:${bound.port}`,
    cut(names = () => true) {
      isHeld = names;
      for (const pair of pairs) {
        if (names(pair.near.remotePort ?? 0)) hold(pair);
      }
    },
    restore() {
      isHeld = undefined;
      for (const { near, far } of pairs) {
        near.resume();
        far.resume();
      }
    },
    close() {
      for (const { near, far } of pairs) {
        near.destroy();
        far.destroy();
      }
      return new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
      });
    },
  };
}

/** Passes on what one socket gives; a broken connection breaks the other one. */
function join(from: Socket, to: Socket): void {
  from.on('data', (chunk) => {
    to.write(chunk);
  });
  from.on('end', () => {
    to.end();
  });
  from.on('error', () => {
    to.destroy();
  });
  from.on('close', () => {
    to.end();
  });
}
