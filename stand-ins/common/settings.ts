/**
 * Settings that every stand-in has.
 */
import { z } from 'zod';

const DEFAULT_RECORD_LIMIT = 50_000;

export const commonSettings = {
  /** `host:port`; port 0 takes a free one. */
  listen: z
    .string()
    .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'expected an IP number and a port')
    .default('127.0.0.1:0'),
  /** Most entries of the record that are kept. */
  recordLimit: z.number().int().positive().default(DEFAULT_RECORD_LIMIT),
};
