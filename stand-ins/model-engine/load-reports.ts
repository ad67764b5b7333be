/**
 * The load reports of an engine, made now and then and shown with a lag.
 */
import type { LoadReport } from '../../src/ports/index.js';
import type { Clock, Timer } from '../../src/task/index.js';

/** What an engine's load is at a moment. */
export type Load = Omit<LoadReport, 'sequence' | 'ageMs'>;

/** Lagging reports. */
export interface LoadReports {
  /** The report that is shown now. */
  read(): LoadReport;
  stop(): void;
}

/** What the reports are made of. */
export interface LoadReportTerms {
  clock: Clock;
  everyMs: number;
  lagMs: number;
  measure(): Load;
}

interface Sample {
  sequence: number;
  at: number;
  load: Load;
}

/** Starts making reports. */
export function startLoadReports(terms: LoadReportTerms): LoadReports {
  const { clock, everyMs, lagMs } = terms;
  let shown: Sample = { sequence: 1, at: clock.now(), load: terms.measure() };
  let later: Sample[] = [];
  let sequence = 1;
  let timer: Timer = clock.after(everyMs, sample);

  function sample(): void {
    sequence += 1;
    later.push({ sequence, at: clock.now(), load: terms.measure() });
    advance();
    timer = clock.after(everyMs, sample);
  }

  function advance(): void {
    const shownAt = clock.now() - lagMs;
    for (const next of later) {
      if (next.at <= shownAt) shown = next;
    }
    later = later.filter((next) => next.sequence > shown.sequence);
  }

  return {
    read() {
      advance();
      return { ...shown.load, sequence: shown.sequence, ageMs: clock.now() - shown.at };
    },
    stop() {
      timer.cancel();
    },
  };
}
