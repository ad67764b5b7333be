/**
 * A start that can be told to stop at any moment. Callers may come as soon as one of the addresses is listened on, so a
 * stop that comes while the rest starts waits for it, and then goes as any other; but no longer than the grace period,
 * which counts from the signal.
 */
import { wait, type Clock } from '../task/index.js';
import type { SignalActions, Signals } from './signals.js';

/** Part of the grace period for which a stop waits for the start, so that what was taken in can still be finished. */
const START_SHARE = 0.5;

/** What can be stopped. */
export interface Stoppable {
  /** @param askedAt when the stop was asked for, in ms on the process's clock */
  stop(askedAt: number): Promise<void>;
}

/** What a start needs. */
export interface StartParts<Started> extends Pick<SignalActions, 'received'> {
  clock: Clock;
  signals: Signals;
  start(): Promise<Started>;
  graceMs(): number;
}

/** A start that is going on, and what follows it. */
export interface StoppableStart<Started> {
  /** What was started; `stopped` where the start did not end in time after a stop was asked for. */
  started: Promise<Started | 'stopped'>;
  /** Resolves once it has stopped, which it does when it is told to. */
  stopped: Promise<void>;
  /** Sets what a signal to reload does from now on; one that came before is acted on now. */
  reloads(reload: () => void): void;
}

/**
 * Starts something that signals stop.
 *
 * @param parts what is started, the signals and the clock
 */
export function startStoppably<Started extends Stoppable>(
  parts: StartParts<Started>,
): StoppableStart<Started> {
  const { clock, signals, received } = parts;
  let askedAt: number | undefined;
  let askStop: () => void = () => undefined;
  const asked = new Promise<void>((resolve) => {
    askStop = resolve;
  });
  const actions: SignalActions = {
    received,
    stop() {
      askedAt ??= clock.now();
      askStop();
    },
  };
  signals.attach(actions);
  const start = parts.start();

  async function giveUp(): Promise<'stopped'> {
    await asked;
    await wait(clock, parts.graceMs() * START_SHARE);
    return 'stopped';
  }

  async function stop(): Promise<void> {
    const [started] = await Promise.all([start, asked]);
    await started.stop(askedAt ?? clock.now());
  }

  const stopped = stop();
  // whoever waits for it hears of a failure; a start that fails is heard of by `started` first
  stopped.catch(() => undefined);
  return {
    started: Promise.race([start, giveUp()]),
    stopped,
    reloads(reload) {
      signals.attach({ ...actions, reload });
    },
  };
}
