/**
 * The settings of one node, as its JSON file gives them. Types are inferred from the schema;
 * an unknown key is an error. `docs/operators/settings.md` lists every key with default and unit.
 */
import { z } from 'zod';

const addressSchema = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'expected an IP number and a port, as 127.0.0.1:7001')
  .refine((address) => Number(address.split(':')[1]) <= 65_535, 'expected a port up to 65535');

/** Where a secret comes from: a file or an environment variable, never the settings themselves. */
export const secretSchema = z.union([
  z.strictObject({ file: z.string() }),
  z.strictObject({ environment: z.string() }),
]);

/** Where a secret comes from. */
export type Secret = z.infer<typeof secretSchema>;

export const settingsSchema = z.strictObject({
  /** Name of this node, equal to its VM's id in the platform's list. */
  node: z.string().min(1),
  /** Availability zone of this VM. */
  zone: z.string().min(1),
  listen: z.strictObject({
    /** Callers' HTTP. */
    caller: addressSchema,
    /** Operators' HTTP, with metrics and health. */
    operator: addressSchema,
    /** Other nodes. */
    peer: addressSchema,
  }),
  /** Addresses that others are told, where they are not those listened on: translated by a network. */
  advertise: z
    .strictObject({
      caller: addressSchema.optional(),
      operator: addressSchema.optional(),
      peer: addressSchema.optional(),
    })
    .prefault({}),
  /** Peer addresses of other nodes to begin with; others are learnt from the platform and them. */
  peers: z.array(addressSchema).default([]),
  platform: z.strictObject({
    tableService: z.url(),
    objectStore: z.url(),
    vmList: z.url(),
    weightStore: z.url().optional(),
  }),
  secrets: z.strictObject({
    peerKey: secretSchema,
    operatorToken: secretSchema,
  }),
  lease: z
    .strictObject({
      /** Time between two renewals. */
      renewEveryMs: z.number().positive().default(750),
      /** A holder counts its lease this long from before it sent the renewal. */
      holderMs: z.number().positive().default(2_500),
      /** A successor waits this long from when it first saw the row unchanged. */
      takerMs: z.number().positive().default(3_500),
    })
    .prefault({})
    .refine((lease) => lease.holderMs < lease.takerMs, {
      path: ['takerMs'],
      error: 'expected more than lease.holderMs, by the time an order may be in flight',
    })
    .refine((lease) => lease.renewEveryMs * 2 < lease.holderMs, {
      path: ['renewEveryMs'],
      error: 'expected less than half of lease.holderMs, so that one renewal may be lost',
    }),
  membership: z
    .strictObject({
      heartbeatEveryMs: z.number().positive().default(250),
      /** A peer that was not heard of for this long is suspected. */
      suspectAfterMs: z.number().positive().default(1_000),
      /** Time between two reads of the platform's list. */
      listEveryMs: z.number().positive().default(1_000),
      /** How long callers keep an answer of `/v1/entry-points`. */
      entryPointsKeptMs: z.number().positive().default(2_000),
      /** How many peers a node keeps links to. */
      maxPeers: z.number().int().positive().default(16),
    })
    .prefault({}),
  configuration: z
    .strictObject({
      /** Time between two reads of the log's head. */
      followEveryMs: z.number().positive().default(1_000),
      /** Without word from table or peer for this long, no new work is taken. */
      staleAfterMs: z.number().positive().default(600_000),
    })
    .prefault({}),
  shards: z
    .strictObject({
      /** Most backend servers in one shard. */
      maxServers: z.number().int().positive().default(16),
    })
    .prefault({}),
  orders: z
    .strictObject({
      /** An engine is kept free of new work this long at most before its change is given up. */
      drainMs: z.number().positive().default(60_000),
      /** How long after a change was given up it is tried again. */
      tryAgainMs: z.number().positive().default(30_000),
      /** How old the platform's list of VMs may be when it is read. */
      listLagMs: z.number().positive().default(30_000),
    })
    .prefault({}),
  requests: z
    .strictObject({
      /** Largest body taken, in bytes. */
      maxBodyBytes: z.number().int().positive().default(2_000_000),
      /** A request's headers and body must have arrived within this time. */
      readTimeoutMs: z.number().positive().default(10_000),
      /** Most requests that wait for one shard. */
      maxQueue: z.number().int().positive().default(2_000),
      /** Retries as a share of requests. */
      retryShare: z.number().min(0).max(1).default(0.1),
      /** Most attempts for one request. */
      maxAttempts: z.number().int().positive().default(4),
      /** How long the fate of a finished request is remembered. */
      fateKeptMs: z.number().positive().default(600_000),
    })
    .prefault({}),
  /** Switches of the decisions on placement, each by itself, for comparisons. */
  decisions: z
    .strictObject({
      /** Prefer the engine that has most of the prompt cached. */
      affinity: z.boolean().default(true),
      /** Share between teams by tokens and weight; otherwise by priority and deadline alone. */
      fairness: z.boolean().default(true),
      /** Refuse at once what cannot be on time. */
      admission: z.boolean().default(true),
      /** Bound the prompts being read on an engine and keep a share for short ones. */
      shortReserve: z.boolean().default(true),
      /** Give less, and then nothing, to servers that fail. */
      ejection: z.boolean().default(true),
      /** Read prompts on one engine and generate on another, where roles ask for it. */
      handover: z.boolean().default(true),
      /** Change engines' roles with the mix, in the groups that allow it. */
      planner: z.boolean().default(true),
      /** For measurements only: follow the mix at once, whatever a change costs. */
      eagerPlanner: z.boolean().default(false),
      /** Cancel and resume work of low priority to make room for work of high priority. */
      preemption: z.boolean().default(false),
      /**
       * How requests get their places: by permits of the shard's holder, or, for measurements only,
       * by each node alone.
       */
      placement: z
        .enum(['permits', 'least-reported', 'two-choices', 'round-robin'])
        .default('permits'),
    })
    .prefault({}),
  claims: z
    .strictObject({
      /** Time for which claims are gathered into one transaction. */
      gatherMs: z.number().nonnegative().default(2),
      /** Most claims in one transaction. */
      maxPerTransaction: z.number().int().positive().default(64),
      /** Answers up to this size are stored in the table, larger ones in the object store. */
      maxInlineBytes: z.number().int().positive().default(8_192),
      /** How long an answer stays known under its key. */
      retentionMs: z.number().positive().default(86_400_000),
      /** Claims removed a second by this node, at most. */
      sweepPerSecond: z.number().positive().default(20),
    })
    .prefault({}),
  shutdown: z
    .strictObject({
      /** How long in-flight requests may take before the process gives up waiting. */
      graceMs: z.number().positive().default(120_000),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
    })
    .prefault({}),
});

/** The settings of one node. */
export type Settings = z.infer<typeof settingsSchema>;

/** Which mechanisms take part in the decisions on placement. */
export type Decisions = Settings['decisions'];
