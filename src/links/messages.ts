/**
 * What nodes say to each other. Every frame is one of these messages, encoded by msgpackr; a frame
 * that does not fit its schema closes the link.
 */
import * as z from 'zod';
import { changeBatchSchema, changeSchema } from '../configuration/objects.js';
import { failureSchema } from '../errors/index.js';
import { roleSchema, vmSchema } from '../ports/index.js';

export const nodeStateSchema = z.object({
  node: z.string(),
  /** Changes with every start of the process. */
  incarnation: z.string(),
  zone: z.string(),
  caller: z.string(),
  operator: z.string(),
  peer: z.string(),
  leaving: z.boolean(),
  /** Grows with every heartbeat of this incarnation. */
  sequence: z.number().int().nonnegative(),
  /** The newest configuration that is in force on the node. */
  configurationVersion: z.number().int().nonnegative(),
  /** Requests in flight, for callers' choice of an entry point. */
  inFlight: z.number().int().nonnegative(),
});

/** What a node says of itself. */
export type NodeState = z.infer<typeof nodeStateSchema>;

export const serverSummarySchema = z.object({
  id: z.string(),
  /** Free places for requests. */
  free: z.number().int(),
  role: roleSchema.optional(),
});

export const shardSummarySchema = z.object({
  shard: z.string(),
  holder: z.string(),
  fence: z.number().int().positive(),
  /** Grows with each summary of this fence. */
  sequence: z.number().int().nonnegative(),
  waiting: z.number().int().nonnegative(),
  servers: z.array(serverSummarySchema),
  /** The holder's incarnation; another one of the same name does not hold the shard. */
  incarnation: z.string().optional(),
  /** True when the holder no longer holds the shard under this fence. */
  released: z.boolean().optional(),
});

/** What the holder of a shard says of it. */
export type ShardSummary = z.infer<typeof shardSummarySchema>;

/** Sent to each partner every `membership.heartbeatEveryMs`; it is small because it is frequent. */
export const heartbeatSchema = z.object({
  kind: z.literal('heartbeat'),
  incarnation: z.string(),
  sequence: z.number().int().nonnegative(),
  configurationVersion: z.number().int().nonnegative(),
  inFlight: z.number().int().nonnegative(),
  /** Whether the sender wants heartbeats from the receiver. */
  chosen: z.boolean(),
  /** Whether the sender lacks the receiver's state, or believes it silent. */
  isStranger: z.boolean(),
  /** The sender's own shards, while there are so few nodes that each is linked to each. */
  shards: z.array(shardSummarySchema),
});

/** A sign of life. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

export const suspicionSchema = z.object({
  node: z.string(),
  incarnation: z.string(),
  /** The last sequence that was heard; a newer one refutes the suspicion. */
  sequence: z.number().int().nonnegative(),
});

/** A node's word that another one is silent. */
export type Suspicion = z.infer<typeof suspicionSchema>;

/** What changed and is passed on from partner to partner, each item once. */
export const gossipMessageSchema = z.object({
  kind: z.literal('news'),
  states: z.array(nodeStateSchema),
  suspicions: z.array(suspicionSchema),
  /** Nodes on which a configuration came into force. */
  reached: z.array(z.object({ version: z.number().int(), nodes: z.array(z.string()) })),
  /** Shards that were taken or given up. */
  shards: z.array(shardSummarySchema),
  /** Digest of the platform's list as the sender knows it. */
  listDigest: z.string().optional(),
});

/** What changed since the last news on a link. */
export type GossipMessage = z.infer<typeof gossipMessageSchema>;

export const permitQuerySchema = z.object({
  kind: z.literal('permit.request'),
  shard: z.string(),
  requestId: z.string(),
  /** Number of the attempt for this request, from 1. */
  attempt: z.number().int().positive(),
  /** The configuration under which the request was resolved. */
  configurationVersion: z.number().int().nonnegative(),
  group: z.string(),
  team: z.string(),
  class: z.string(),
  weight: z.number().positive(),
  priority: z.number().int(),
  /** Time left until the first token or the whole service answer is late, in milliseconds. */
  firstTokenInMs: z.number(),
  /** Time left until the deadline, in milliseconds. */
  deadlineInMs: z.number(),
  promptTokens: z.number().int().nonnegative(),
  expectedOutputTokens: z.number().int().nonnegative(),
  /** Most output tokens that may still come. */
  maxOutputTokens: z.number().int().nonnegative().optional(),
  /** Longest time between two tokens, in milliseconds. */
  betweenTokensMs: z.number().positive().optional(),
  /** Hashes of ever longer prefixes of the prompt, the shortest first. */
  prefixes: z.array(z.string()),
  model: z.string().optional(),
  adapter: z.string().optional(),
  /** A permit for a request that may not be repeated is given only under a valid lease. */
  repeatable: z.boolean(),
  /** Backend servers that failed this request before. */
  avoid: z.array(z.string()),
});

/** A router's wish for a place on a backend server. */
export type PermitQuery = z.infer<typeof permitQuerySchema>;

export const permitSchema = z.object({
  permitId: z.string(),
  shard: z.string(),
  fence: z.number().int().positive(),
  server: z.string(),
  address: z.string(),
  /** How long the request waited for it, in milliseconds. */
  waitedMs: z.number(),
  /** Where the prompt is to be read first, when it is not on `server`. */
  prefill: z.object({ server: z.string(), address: z.string() }).optional(),
  /** The priority for the engine; lower is sooner. */
  enginePriority: z.number().int().optional(),
});

/** Leave to run one request on one backend server. */
export type Permit = z.infer<typeof permitSchema>;

/** Where nodes are many, an answer brings the router news of the shard. */
const summary = shardSummarySchema.optional();
const grantedSchema = z.object({
  kind: z.literal('permit.granted'),
  permit: permitSchema,
  summary,
});
const refusedSchema = z.object({
  kind: z.literal('permit.refused'),
  failure: failureSchema,
  summary,
});

export const permitAnswerSchema = z.discriminatedUnion('kind', [grantedSchema, refusedSchema]);

/** What the holder answers. */
export type PermitAnswer = z.infer<typeof permitAnswerSchema>;

export const permitReleaseSchema = z.object({
  kind: z.literal('permit.release'),
  shard: z.string(),
  permitId: z.string(),
  requestId: z.string(),
  server: z.string(),
  team: z.string(),
  class: z.string(),
  /** How the use of the permit ended. */
  result: z.enum(['answered', 'refused', 'cut', 'cancelled', 'slow']),
  promptTokens: z.number().int().nonnegative(),
  cachedTokens: z.number().int().nonnegative(),
  outputTokens: z.number().int().nonnegative(),
  /** Time from the call to the first token, in milliseconds, where there was one. */
  firstTokenMs: z.number().optional(),
  /** Time from the call to the end, in milliseconds. */
  totalMs: z.number().nonnegative(),
});

/** A router's word that a permit is no longer in use. */
export type PermitRelease = z.infer<typeof permitReleaseSchema>;

export const permitProgressSchema = z.object({
  kind: z.literal('permit.progress'),
  shard: z.string(),
  permitId: z.string(),
  server: z.string(),
  /** Time from the call to the first token, in milliseconds. */
  firstTokenMs: z.number().nonnegative(),
  /** The part of it until the prompt had been read elsewhere, where it was. */
  prefillMs: z.number().nonnegative().optional(),
});

/** A router's word that the first token came. */
export type PermitProgress = z.infer<typeof permitProgressSchema>;

/** Takes back a wish that is still waiting; a permit already granted is released instead. */
export const permitCancelSchema = z.object({
  kind: z.literal('permit.cancel'),
  shard: z.string(),
  requestId: z.string(),
  attempt: z.number().int().positive(),
});

/** A router's permits in use, told to a new holder. */
export const permitAdoptSchema = z.object({
  kind: z.literal('permit.adopt'),
  shard: z.string(),
  node: z.string(),
  incarnation: z.string(),
  permits: z.array(
    z.object({
      permitId: z.string(),
      requestId: z.string(),
      server: z.string(),
      team: z.string(),
      class: z.string(),
      promptTokens: z.number().int(),
      expectedOutputTokens: z.number().int(),
      weight: z.number().positive().optional(),
    }),
  ),
});

/** A router's permits in use. */
export type PermitAdoption = z.infer<typeof permitAdoptSchema>;

export const limitDrawSchema = z.object({
  kind: z.literal('limits.draw'),
  team: z.string(),
  /** Requests and tokens without which the allowance is of no use. */
  leastRequests: z.number().nonnegative(),
  leastTokens: z.number().nonnegative(),
  /** Requests and tokens wanted. */
  requests: z.number().nonnegative(),
  tokens: z.number().nonnegative(),
  /** Requests in flight that the node wants to be allowed, in all. */
  places: z.number().int().nonnegative(),
  /** Requests in flight at the node. */
  inUse: z.number().int().nonnegative(),
});

/** A node's wish for part of a team's limits, to the team's home. */
export type LimitDraw = z.infer<typeof limitDrawSchema>;

export const limitAllowanceSchema = z.object({
  kind: z.literal('limits.allowance'),
  requests: z.number().nonnegative(),
  tokens: z.number().nonnegative(),
  /** Requests in flight that the node is allowed, in all. */
  places: z.number().int().nonnegative(),
  /** When to ask again for requests and tokens, in milliseconds; 0 when they were given. */
  retryAfterMs: z.number().nonnegative(),
});

/** Part of a team's limits, for one node to use. */
export type LimitAllowance = z.infer<typeof limitAllowanceSchema>;

export const changesPushSchema = z.object({
  kind: z.literal('configuration.push'),
  changes: z.array(changeSchema),
});

export const changesFetchSchema = z.object({
  kind: z.literal('configuration.fetch'),
  after: z.number().int().nonnegative(),
});

export const changesAnswerSchema = changeBatchSchema.extend({
  kind: z.literal('configuration.changes'),
});

export const requestStatusQuerySchema = z.object({
  kind: z.literal('request.fate'),
  requestId: z.string(),
});

export const requestStatusSchema = z.object({
  requestId: z.string(),
  team: z.string(),
  state: z.enum(['running', 'answered', 'not-run', 'unknown']),
  failure: failureSchema.optional(),
});

/** What became of a request. */
export type RequestStatus = z.infer<typeof requestStatusSchema>;

export const requestStatusAnswerSchema = z.object({
  kind: z.literal('request.fate.answer'),
  fate: requestStatusSchema.optional(),
});

export const vmsFetchSchema = z.object({
  kind: z.literal('vms.fetch'),
  /** Digest of the list that the asker has. */
  digest: z.string(),
});

export const vmsAnswerSchema = z.object({
  kind: z.literal('vms.difference'),
  /** Digest of the list after the difference. */
  digest: z.string(),
  /** True when `put` is the whole list. */
  whole: z.boolean(),
  put: z.array(vmSchema),
  removed: z.array(z.string()),
});

/** How one reading of the platform's list differs from an earlier one. */
export type VmsDifference = z.infer<typeof vmsAnswerSchema>;

export const doneSchema = z.object({ kind: z.literal('done') });

/** Messages that want no answer. */
export const noticeSchema = z.discriminatedUnion('kind', [
  heartbeatSchema,
  gossipMessageSchema,
  permitReleaseSchema,
  permitProgressSchema,
  permitCancelSchema,
  permitAdoptSchema,
  changesPushSchema,
]);

/** A message that wants no answer. */
export type Notice = z.infer<typeof noticeSchema>;

/** Messages that want one answer. */
export const querySchema = z.discriminatedUnion('kind', [
  permitQuerySchema,
  limitDrawSchema,
  changesFetchSchema,
  requestStatusQuerySchema,
  vmsFetchSchema,
]);

/** A message that wants one answer. */
export type Query = z.infer<typeof querySchema>;

export const answerSchema = z.discriminatedUnion('kind', [
  grantedSchema,
  refusedSchema,
  limitAllowanceSchema,
  changesAnswerSchema,
  requestStatusAnswerSchema,
  vmsAnswerSchema,
  doneSchema,
]);

/** The answer to a query. */
export type Answer = z.infer<typeof answerSchema>;

export const frameSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('challenge'), nonce: z.string() }),
  z.object({
    type: z.literal('proof'),
    node: z.string(),
    nonce: z.string(),
    proof: z.string(),
  }),
  z.object({ type: z.literal('welcome'), node: z.string(), proof: z.string() }),
  z.object({ type: z.literal('notice'), notice: noticeSchema }),
  z.object({ type: z.literal('query'), id: z.number().int(), query: querySchema }),
  z.object({ type: z.literal('answer'), id: z.number().int(), answer: answerSchema }),
]);

/** One frame on a link. */
export type Frame = z.infer<typeof frameSchema>;
