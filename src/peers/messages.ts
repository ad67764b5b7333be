/**
 * What gateways say to each other. Everything is a notice: nothing waits for an answer, and a lost
 * message is made good by the next heartbeat.
 */
import { Packr } from 'msgpackr';
import * as z from 'zod';
import { allowanceMessageSchemas, noticesMessageSchema } from '../backpressure/index.js';
import { healthOutcomeSchema } from '../fleet/health.js';
import { crashesMessageSchema } from '../quarantine/messages.js';
import { trialMessageSchemas } from '../quarantine/trials.js';
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

/** What a gateway says of itself, passed on to all others when it changes. */
export const gatewayStateSchema = z.object({
  node: z.string(),
  /** Differs for each start of the process. */
  incarnation: z.string(),
  /** Grows with each state that the gateway tells of itself. */
  sequence: z.number(),
  /** `host:port` for peers. */
  address: z.string(),
  /** `host:port` for callers. */
  front: z.string(),
  zone: z.string(),
  /** Cores that the gateway may use. */
  cores: z.number(),
  /** Takes callers' requests. */
  isReady: z.boolean(),
  /** It follows the store by itself, and the store answers it. */
  isFollowing: z.boolean(),
});

const suspicionSchema = z.object({
  node: z.string(),
  incarnation: z.string(),
  /** The last sequence that was heard; a newer one refutes the suspicion. */
  sequence: z.number(),
});

/** The first message on a link. */
const introductionSchema = z.object({
  kind: z.literal('introduction'),
  state: gatewayStateSchema,
  /** The link takes the place of one on which nothing was heard. */
  isReplacement: z.boolean(),
});

/** How far a gateway knows what the store holds. */
const versionsFields = {
  /** Version of the routes in force there. */
  routes: z.number(),
  /** Newest revision of the registry known there. */
  fleet: z.number(),
};

/** A heartbeat between partners. */
const beatSchema = z.object({
  kind: z.literal('beat'),
  ...versionsFields,
  /** The sender has chosen the receiver as its partner. */
  isChosen: z.boolean(),
  /** Of all gateways that the sender believes alive, itself included. */
  digest: z.number(),
  /** Of what the sender knows of requests under which servers ended. */
  crashDigest: z.number().default(0),
  /** Of what the sender knows that servers ask of all gateways. */
  noticeDigest: z.number().default(0),
});
/** Said as soon as a version is new. */
const versionsSchema = z.object({ kind: z.literal('versions'), ...versionsFields });
const toldFields = {
  states: z.array(gatewayStateSchema),
  suspicions: z.array(suspicionSchema),
};
/** What has changed; it is passed on. */
const newsSchema = z.object({ kind: z.literal('news'), ...toldFields });
/** All that the sender believes, for one that asked for it. */
const viewSchema = z.object({ kind: z.literal('view'), ...toldFields });
/** Asks for what the receiver knows beyond a version. */
const wantSchema = z.object({
  kind: z.literal('want'),
  what: z.enum(['routes', 'fleet', 'view']),
  after: z.number(),
});
const fleetSchema = z.object({
  kind: z.literal('fleet'),
  changes: z.array(registryChangeSchema),
  /** With these changes the receiver knows all up to this revision. */
  revision: z.number(),
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
/** A message that is not for the overlay itself. */
export type GatewayMessage = Exclude<
  PeerMessage,
  { kind: 'introduction' | 'beat' | 'news' | 'view' }
>;
/** What a gateway says of itself. */
export type GatewayState = z.infer<typeof gatewayStateSchema>;
/** Says that a gateway is silent. */
export type GatewaySuspicion = z.infer<typeof suspicionSchema>;
/** How far a gateway knows what the store holds. */
export type StoreVersions = Omit<z.infer<typeof versionsSchema>, 'kind'>;

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
