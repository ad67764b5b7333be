/**
 * What a process does on an error that nobody caught: it goes on. A process serves hundreds of requests besides the one
 * that the error came of, and that one still ends by its time limit. To end, even after a grace period, would hand
 * whoever can cause such an error an end of each process in turn, as the same request comes again elsewhere. What a
 * process believes of others is renewed by heartbeats and reads, so it needs no restart to be right again.
 */

/** The part of a process that errors are observed on. */
export interface FailingProcess {
  on(event: 'uncaughtException', listener: (error: unknown) => void): unknown;
}

/**
 * Has a process go on after errors that nobody caught, of callbacks as of promises.
 *
 * @param observed by default this process
 */
export function surviveErrors(observed: FailingProcess = process): void {
  observed.on('uncaughtException', () => {
    // logged and counted by who observes the ends of the process
  });
}
