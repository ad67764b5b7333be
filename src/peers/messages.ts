/**
 * What gateways say to each other. Everything is a notice: nothing waits for an answer, and a lost
 * message is made good by the next heartbeat.
 */
import { Packr } from 'msgpackr';
import { z } from 'zod';
import { healthOutcomeSchema } from '../fleet/health.js';
import { routesMessageSchema } from './routes-message.js';
import { jobSchema, placementSchema } from '../scheduling/job.js';

const serverSchema = z.object({
  /** The name of its entry; with its start it names the incarnation. */
  id: z.string(),
  bornAtMs: z.number().optional(),
  service: z.string(),
  address: z.string(),
  zone: z.string(),
  slots: z.number(),
  isLeaving: z.boolean(),
  role: z.enum(['prefill', 'decode']).optional(),
  warmUpMs: z.number(),
});

const registryChangeSchema = z.object({
  id: z.string(),
  revision: z.number(),
  server: serverSchema.optional(),
  unusable: z
    .object({ reason: z.enum(['bytes', 'document', 'fields']), issues: z.string() })
    .optional(),
});

/** Who a gateway is; the first message on a link. */
export const introductionSchema = z.object({
  kind: z.literal('introduction'),
  node: z.string(),
  /** Differs for each start of the process. */
  incarnation: z.string(),
  /** `host:port` for peers. */
  address: z.string(),
  /** `host:port` for callers. */
  front: z.string(),
  zone: z.string(),
  /** Cores that the gateway may use. */
  cores: z.number(),
  /** Addresses of the peers it knows. */
  known: z.array(z.string()),
});

/** A gateway's regular word. */
export const beatSchema = z.object({
  kind: z.literal('beat'),
  /** Takes callers' requests. */
  isReady: z.boolean(),
  /** Version of the routes in force there. */
  routes: z.number(),
  /** Newest revision of the registry known there. */
  fleet: z.number(),
  /** It follows the store by itself, and the store answers it. */
  isFollowing: z.boolean(),
});

const fleetSchema = z.object({
  kind: z.literal('fleet'),
  changes: z.array(registryChangeSchema),
});
const submitSchema = z.object({ kind: z.literal('job.submit'), job: jobSchema });
const adoptSchema = z.object({
  kind: z.literal('job.adopt'),
  job: jobSchema,
  placement: placementSchema,
});
/** The job has arrived and waits for its decision. */
const queuedSchema = z.object({ kind: z.literal('job.queued'), id: z.string() });
const placedSchema = z.object({
  kind: z.literal('job.placed'),
  id: z.string(),
  placement: placementSchema,
});
const declinedSchema = z.object({
  kind: z.literal('job.declined'),
  id: z.string(),
  reason: z.enum(['no-engine', 'cannot-be-on-time', 'cancelled']),
  retryAfterMs: z.number(),
  backlogMs: z.number(),
});
const readSchema = z.object({ kind: z.literal('job.read'), id: z.string() });
const begunSchema = z.object({ kind: z.literal('job.begun'), id: z.string() });
const finishedSchema = z.object({
  kind: z.literal('job.finished'),
  id: z.string(),
  /** What became of it at the engine that had it last. */
  outcome: healthOutcomeSchema.optional(),
});

export const messageSchema = z.discriminatedUnion('kind', [
  introductionSchema,
  beatSchema,
  routesMessageSchema,
  fleetSchema,
  submitSchema,
  adoptSchema,
  queuedSchema,
  placedSchema,
  declinedSchema,
  readSchema,
  begunSchema,
  finishedSchema,
]);

/** A message between gateways. */
export type PeerMessage = z.infer<typeof messageSchema>;
/** Who a gateway is. */
export type Introduction = z.infer<typeof introductionSchema>;
/** A gateway's regular word. */
export type Beat = z.infer<typeof beatSchema>;

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

/** Encodes a message. */
export function encodeMessage(message: PeerMessage): Buffer {
  return packr.pack(message);
}

/** Decodes a message; `undefined` when the bytes are none. */
export function decodeMessage(bytes: Uint8Array): PeerMessage | undefined {
  try {
    const parsed = messageSchema.safeParse(packr.unpack(bytes));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
