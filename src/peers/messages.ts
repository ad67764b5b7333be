/**
 * Messages between gateways. All are one-way: no sender waits for a reply, and heartbeats make up for lost
 * messages.
 */
import { Packr } from 'msgpackr';
import * as z from 'zod';
import { allowanceMessageSchemas, noticesMessageSchema } from '../backpressure/index.js';
import { healthOutcomeSchema } from '../fleet/health.js';
import { crashesMessageSchema } from '../quarantine/messages.js';
import { trialMessageSchemas } from '../quarantine/trials.js';
import { routesMessageSchema } from './routes-message.js';
import { jobSchema, placementSchema } from '../scheduling/job.js';
import { originMessageSchemas } from '../streams/messages.js';

const serverSchema = z.object({
  /** Name of its registry entry; together with `bornAtMs` it identifies the incarnation. */
  id: z.string(),
  bornAtMs: z.number().optional(),
  service: z.string(),
  address: z.string(),
  zone: z.string(),
  /** Peers of earlier releases leave it out. */
  version: z.string().optional(),
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

/** A gateway's own state, gossiped to all others when it changes. */
export const gatewayStateSchema = z.object({
  node: z.string(),
  /** Unique for each start of the process. */
  incarnation: z.string(),
  /** Increases with each state that the gateway publishes. */
  sequence: z.number(),
  /** `host:port` for peers. */
  address: z.string(),
  /** `host:port` for callers. */
  front: z.string(),
  zone: z.string(),
  /** Cores that the gateway may use. */
  cores: z.number(),
  /** Accepts callers' requests. */
  isReady: z.boolean(),
  /** Follows the store directly, and the store answers. */
  isFollowing: z.boolean(),
  /** Keeps where streams began. Gateways of earlier releases do not, and close a link with messages about it. */
  recordsOrigins: z.boolean().optional(),
});

const suspicionSchema = z.object({
  node: z.string(),
  incarnation: z.string(),
  /** Latest sequence known to the suspecting gateway; a greater one refutes the suspicion. */
  sequence: z.number(),
});

/** The first message on a link. */
const introductionSchema = z.object({
  kind: z.literal('introduction'),
  state: gatewayStateSchema,
  /** The link replaces one that went silent. */
  isReplacement: z.boolean(),
});

/** Versions of the store's contents that a gateway has. */
const versionsFields = {
  /** Version of the routes in force. */
  routes: z.number(),
  /** Newest known revision of the registry. */
  fleet: z.number(),
};

/** A heartbeat between partners. */
const beatSchema = z.object({
  kind: z.literal('beat'),
  ...versionsFields,
  /** The sender has chosen the receiver as its partner. */
  isChosen: z.boolean(),
  /** Digest of the gateways that the sender believes alive, itself included. */
  digest: z.number(),
  /** Digest of the sender's records of requests during which servers crashed. */
  crashDigest: z.number().default(0),
  /** Digest of the servers' notices (limits, leaving) that the sender knows. */
  noticeDigest: z.number().default(0),
});
/** Announces new versions without waiting for the next heartbeat. */
const versionsSchema = z.object({ kind: z.literal('versions'), ...versionsFields });
const membershipFields = {
  states: z.array(gatewayStateSchema),
  suspicions: z.array(suspicionSchema),
};
/** Membership updates, which the receiver relays. */
const newsSchema = z.object({ kind: z.literal('news'), ...membershipFields });
/** The sender's whole membership view, on request. */
const viewSchema = z.object({ kind: z.literal('view'), ...membershipFields });
/** Requests what the receiver has beyond a version. */
const wantSchema = z.object({
  kind: z.literal('want'),
  what: z.enum(['routes', 'fleet', 'view']),
  after: z.number(),
});
const fleetSchema = z.object({
  kind: z.literal('fleet'),
  changes: z.array(registryChangeSchema),
  /** Revision up to which the receiver is complete with these changes. */
  revision: z.number(),
});

const submitSchema = z.object({ kind: z.literal('job.submit'), job: jobSchema });
const adoptSchema = z.object({
  kind: z.literal('job.adopt'),
  job: jobSchema,
  placement: placementSchema,
});
/** The job was received and awaits its placement. */
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
  /** Outcome at the last engine that had it. */
  outcome: healthOutcomeSchema.optional(),
});

export const messageSchema = z.discriminatedUnion('kind', [
  introductionSchema,
  beatSchema,
  versionsSchema,
  newsSchema,
  viewSchema,
  wantSchema,
  routesMessageSchema,
  fleetSchema,
  crashesMessageSchema,
  ...trialMessageSchemas,
  noticesMessageSchema,
  ...allowanceMessageSchemas,
  ...originMessageSchemas,
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
/** A message that the overlay hands to the gateway. */
export type GatewayMessage = Exclude<
  PeerMessage,
  { kind: 'introduction' | 'beat' | 'news' | 'view' }
>;
/** A gateway's own state. */
export type GatewayState = z.infer<typeof gatewayStateSchema>;
/** Reports that a gateway is silent. */
export type GatewaySuspicion = z.infer<typeof suspicionSchema>;
/** Versions of the store's contents that a gateway has. */
export type StoreVersions = Omit<z.infer<typeof versionsSchema>, 'kind'>;

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: false });

export function encodeMessage(message: PeerMessage): Buffer {
  return packr.pack(message);
}

/** Decodes a message; `undefined` if the bytes are not a valid one. */
export function decodeMessage(bytes: Uint8Array): PeerMessage | undefined {
  try {
    const parsed = messageSchema.safeParse(packr.unpack(bytes));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
