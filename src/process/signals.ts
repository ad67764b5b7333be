/**
 * Signals to the process. A signal that nothing handles ends a process at once, with all that it has accepted, so each
 * that a supervisor or a person may send is handled for as long as the process lives, however often it comes: one asks
 * for a stop, and the first stop goes on whatever follows; one asks to read the settings again; the rest change nothing.
 * This module loads nothing, so that it can be in force before anything else is loaded.
 */

/** Signals by which a process is told to stop; they differ in who sends them. */
const STOPS = ['SIGTERM', 'SIGINT', 'SIGQUIT'] as const;
/** Signals that are used for other things elsewhere, and end a process that does not handle them. */
const OTHERS = ['SIGUSR2', 'SIGALRM'] as const;

/** What a signal leads to. */
export type SignalEffect = 'stop' | 'stops-already' | 'reload' | 'none';

/** What a process does on signals, in one part of its life. */
export interface SignalActions {
  /** A signal has come; called before what it leads to. */
  received(name: NodeJS.Signals, effect: SignalEffect): void;
  /** Left out where what is asked for has to wait for what is attached next. */
  reload?: () => void;
  /** Called once. */
  stop(): void;
}

/** Signals that have come, and those to come. */
export interface Signals {
  /** Acts on the signals that have come, and on each from now on, in place of what acted on them before. A stop that was
   * asked for earlier is passed on to each that is attached. */
  attach(actions: SignalActions): void;
}

interface ReceivedSignal {
  name: NodeJS.Signals;
  effect: SignalEffect;
}

/** Handles signals from now on. */
export function createSignals(): Signals {
  let attached: SignalActions | undefined;
  const waiting: ReceivedSignal[] = [];
  let isStopAsked = false;
  let isReloadAsked = false;

  function receive(name: NodeJS.Signals, effect: SignalEffect): void {
    if (attached === undefined) waiting.push({ name, effect });
    else act(attached, { name, effect });
  }

  function act(actions: SignalActions, { name, effect }: ReceivedSignal): void {
    actions.received(name, effect);
    if (effect === 'stop') actions.stop();
    if (effect !== 'reload') return;
    if (actions.reload === undefined) isReloadAsked = true;
    else actions.reload();
  }

  for (const name of STOPS) {
    process.on(name, () => {
      const effect = isStopAsked ? 'stops-already' : 'stop';
      isStopAsked = true;
      receive(name, effect);
    });
  }
  process.on('SIGHUP', () => {
    receive('SIGHUP', 'reload');
  });
  for (const name of OTHERS) {
    process.on(name, () => {
      receive(name, 'none');
    });
  }

  return {
    attach(actions) {
      const isStopKnown = isStopAsked && !waiting.some(({ effect }) => effect === 'stop');
      attached = actions;
      for (const signal of waiting.splice(0)) act(actions, signal);
      if (isStopKnown) actions.stop();
      if (!isReloadAsked || actions.reload === undefined) return;
      isReloadAsked = false;
      actions.reload();
    },
  };
}
