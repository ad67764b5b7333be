/**
 * What gateways tell each other of requests under which servers ended.
 */
import * as z from 'zod';
import type { CrashRecord } from './records.js';

export const crashRowSchema = z.object({
  fingerprint: z.string(),
  cleared: z.number(),
  crashes: z.number(),
  discounted: z.number().default(0),
  /** Time since the last change, in ms: clocks differ. */
  ageMs: z.number(),
  /** The server whose end was just counted. */
  server: z.string().optional(),
});

/** A record as it is told and kept. */
export type CrashRow = z.infer<typeof crashRowSchema>;

/** A row as it is told, without the names of its fields: a hundred servers that end at once make 1,600 of them. */
const crashTupleSchema = z.tuple([
  z.string(),
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.string().optional(),
]);

type CrashTuple = z.infer<typeof crashTupleSchema>;

export const crashesMessageSchema = z.object({
  kind: z.literal('crashes'),
  records: z.array(crashTupleSchema),
});

/** What is known of some requests. */
export type CrashesMessage = z.infer<typeof crashesMessageSchema>;

/** Puts a row into a message. */
export function encodeCrash(row: CrashRow): CrashTuple {
  const { fingerprint, cleared, crashes, discounted, ageMs, server } = row;
  const counts: [number, number, number] = [cleared, crashes, discounted];
  const told: CrashTuple = [fingerprint, ...counts, Math.round(ageMs)];
  if (server !== undefined) told.push(server);
  return told;
}

/** Reads a row of a message. */
export function decodeCrash(told: CrashTuple): CrashRow {
  const [fingerprint, cleared, crashes, discounted, ageMs, server] = told;
  return { fingerprint, cleared, crashes, discounted, ageMs, server };
}

/**
 * Puts a record into a row.
 *
 * @param record of this gateway
 * @param now this gateway's clock, in ms
 */
export function toCrashRow({ at, ...record }: CrashRecord, now: number): CrashRow {
  return { ...record, ageMs: now - at };
}

/**
 * Reads a row.
 *
 * @param row a peer's, or the platform's
 * @param now this gateway's clock, in ms
 */
export function fromCrashRow(row: CrashRow, now: number): CrashRecord {
  const { fingerprint, cleared, crashes, discounted, ageMs } = row;
  return { fingerprint, cleared, crashes, discounted, at: now - Math.max(0, ageMs) };
}
