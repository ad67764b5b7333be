/**
 * The system call that takes a waiting connection from the queue of the kernel. Node has no function for it and accepts
 * one connection in each turn of its event loop, however many wait.
 */
import { constants } from 'node:os';
import type { Log } from '../events/index.js';

/** Flags of `accept4` on Linux: non-blocking, and closed in a child process. */
const SOCK_NONBLOCK = 0o4000;
const SOCK_CLOEXEC = 0o2000000;

/** Takes a connection from the queue of a listening descriptor: its descriptor, or why there is none. */
export type NativeAccept = (listeningFd: number) => number | 'queue-empty' | 'failed';

let loading: Promise<NativeAccept | undefined> | undefined;

/**
 * Loads the system call, once for all servers of the process.
 *
 * @param log hears why it could not be loaded; servers then accept one connection a turn
 */
export function loadNativeAccept(log: Pick<Log, 'write'>): Promise<NativeAccept | undefined> {
  loading ??= load(log);
  return loading;
}

async function load(log: Pick<Log, 'write'>): Promise<NativeAccept | undefined> {
  if (process.platform !== 'linux') {
    log.write('acceptsSingly', { reason: `no accept4 on ${process.platform}` });
    return undefined;
  }
  try {
    const koffi = await import('koffi');
    const accept4 = koffi.load(null).func('int accept4(int, void *, void *, int)');
    return (listeningFd) => {
      const fd: unknown = accept4(listeningFd, null, null, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (typeof fd === 'number' && fd >= 0) return fd;
      return koffi.errno() === constants.errno.EAGAIN ? 'queue-empty' : 'failed';
    };
  } catch (error) {
    log.write('acceptsSingly', { reason: String(error) });
    return undefined;
  }
}
