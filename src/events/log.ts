/**
 * Structured logs: every line is a numbered event of the catalogue.
 */
import { pino } from 'pino';
import { eventCatalogue, type EventName, type Level } from './catalogue.js';

/** Fields that go with an event. Secrets never do. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Writes events. */
export interface Log {
  write(event: EventName, fields?: EventFields): void;
}

/**
 * Creates a log that writes JSON lines to standard output.
 *
 * @param node name of this node, on every line
 * @param level least serious level written
 */
export function createLog(node: string, level: Level): Log {
  const logger = pino({ level, base: { node } });
  return {
    write(event, fields = {}) {
      const entry = eventCatalogue[event];
      logger[entry.level]({ event: entry.id, name: event, ...fields }, entry.text);
    },
  };
}

/** A log that writes nothing. */
export function createSilentLog(): Log {
  return {
    write() {
      // by design
    },
  };
}
