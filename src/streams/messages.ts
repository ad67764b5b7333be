/**
 * Messages by which gateways share where streams began.
 */
import * as z from 'zod';

const originSchema = z.object({
  service: z.string(),
  /** Software version of the server whose event was the first to reach the caller. */
  version: z.string(),
});

/** Where a stream began. Only servers of this service and version may continue it. */
export type StreamOrigin = z.infer<typeof originSchema>;

/** Whether two streams began at the same service and version. */
export function isSameOrigin(one: StreamOrigin, other: StreamOrigin): boolean {
  return one.service === other.service && one.version === other.version;
}

/** Replicates where a stream began; a second one that differs tells that the first may be wrong. */
const recordSchema = z.object({
  kind: z.literal('origin.record'),
  /** The caller's id of the attempt that began the stream. */
  attempt: z.string(),
  origin: originSchema,
  /** For how long the stream may be continued, in ms. */
  keepMs: z.number(),
});

/** Asks where a stream began. */
const querySchema = z.object({
  kind: z.literal('origin.query'),
  id: z.string(),
  /** Absent if the caller did not name the attempt. */
  attempt: z.string().optional(),
  /** The service in question, if there is only one. */
  service: z.string().optional(),
});

/** Answers a query. */
const responseSchema = z.object({
  kind: z.literal('origin.response'),
  id: z.string(),
  /** Absent without a record. */
  origin: originSchema.optional(),
  /** Versions of the service that may have begun streams, as far as the sender knows. */
  versions: z.array(z.string()).readonly(),
  /** Whether the sender knows all of them. */
  isComplete: z.boolean(),
  /** Whether the sender has read what the platform stores; absent from senders that store nothing there. */
  isStoredRead: z.boolean().optional(),
});

export const originMessageSchemas = [recordSchema, querySchema, responseSchema] as const;

/** A message about where a stream began. */
export type OriginMessage =
  z.infer<typeof recordSchema> | z.infer<typeof querySchema> | z.infer<typeof responseSchema>;
