/**
 * Messages by which gateways share crash records.
 */
import * as z from 'zod';
import type { CrashRecord } from './records.js';

export const crashRowSchema = z.object({
  fingerprint: z.string(),
  cleared: z.number(),
  crashes: z.number(),
  discounted: z.number().default(0),
  /** Time since the last change, in ms; relative, because the gateways' clocks differ. */
  ageMs: z.number(),
  /** The server whose crash was just counted. */
  server: z.string().optional(),
});

/** A record as it is sent and stored. */
export type CrashRow = z.infer<typeof crashRowSchema>;

/** A row without field names, to keep messages small when many servers crash at once. */
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

/** Crash records of some requests. */
export type CrashesMessage = z.infer<typeof crashesMessageSchema>;

/** Encodes a row for a message. */
export function encodeCrash(row: CrashRow): CrashTuple {
  const { fingerprint, cleared, crashes, discounted, ageMs, server } = row;
  const counts: [number, number, number] = [cleared, crashes, discounted];
  const encoded: CrashTuple = [fingerprint, ...counts, Math.round(ageMs)];
  if (server !== undefined) encoded.push(server);
  return encoded;
}

/** Decodes a row of a message. */
export function decodeCrash(encoded: CrashTuple): CrashRow {
  const [fingerprint, cleared, crashes, discounted, ageMs, server] = encoded;
  return { fingerprint, cleared, crashes, discounted, ageMs, server };
}

/**
 * Converts a record to a row.
 *
 * @param record a record of this gateway
 * @param now the time on this gateway's clock, in ms
 */
export function toCrashRow({ at, ...record }: CrashRecord, now: number): CrashRow {
  return { ...record, ageMs: now - at };
}

/**
 * Converts a row to a record.
 *
 * @param row a row from a peer or from the platform
 * @param now the time on this gateway's clock, in ms
 */
export function fromCrashRow(row: CrashRow, now: number): CrashRecord {
  const { fingerprint, cleared, crashes, discounted, ageMs } = row;
  return { fingerprint, cleared, crashes, discounted, at: now - Math.max(0, ageMs) };
}
