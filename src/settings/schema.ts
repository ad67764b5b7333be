/**
 * The settings of one node, as its JSON file gives them. Types are inferred from the schema;
 * an unknown key is an error. `docs/operators/settings.md` lists every key with default and unit.
 */
import * as z from 'zod';

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

export const certificateFilesSchema = z.strictObject({
  certificateFile: z.string().describe('PEM file with the certificate and those that signed it.'),
  keyFile: z.string().describe('PEM file with its private key.'),
  authorityFile: z
    .string()
    .optional()
    .describe(
      'PEM file with the authorities that certificates are checked by; else the usual ones.',
    ),
});

/** Where a certificate and its key are. */
export type CertificateFiles = z.infer<typeof certificateFilesSchema>;

export const settingsSchema = z.strictObject({
  node: z
    .string()
    .min(1)
    .describe("Name of this node, equal to its VM's id in the platform's list."),
  zone: z.string().min(1).describe('Availability zone of this VM.'),
  listen: z.strictObject({
    caller: addressSchema.describe("Callers' HTTP."),
    operator: addressSchema.describe("Operators' HTTP, with metrics and health."),
    peer: addressSchema.describe('Other nodes.'),
  }),
  /** Addresses that others are told, where they are not those listened on: translated by a network. */
  advertise: z
    .strictObject({
      caller: addressSchema.optional().describe('Address that callers are told.'),
      operator: addressSchema.optional().describe('Address that operators are told.'),
      peer: addressSchema.optional().describe('Address that other nodes are told.'),
    })
    .prefault({}),
  peers: z
    .array(addressSchema)
    .default([])
    .describe(
      'Peer addresses of other nodes to begin with; others are learnt from the platform and them.',
    ),
  platform: z.strictObject({
    tableService: z.url().describe('Origin of the transactional table service.'),
    objectStore: z.url().describe('Origin of the object store.'),
    vmList: z.url().describe('Origin of the list of live and leaving VMs.'),
    weightStore: z
      .url()
      .optional()
      .describe('Origin of the weight store; loads are not paced without it.'),
  }),
  secrets: z.strictObject({
    peerKey: secretSchema.describe('Key that all nodes share and prove to each other.'),
    operatorToken: secretSchema.describe('Token that operators send.'),
  }),
  tls: z
    .strictObject({
      caller: certificateFilesSchema.optional(),
      operator: certificateFilesSchema.optional(),
      /** On every node or on none; the certificate names the IP number that others dial. */
      peer: certificateFilesSchema.optional(),
    })
    .prefault({}),
  lease: z
    .strictObject({
      renewEveryMs: z.number().positive().default(750).describe('Time between two renewals.'),
      holderMs: z
        .number()
        .positive()
        .default(2_500)
        .describe('A holder counts its lease this long from before it sent the renewal.'),
      takerMs: z
        .number()
        .positive()
        .default(3_500)
        .describe('A successor waits this long from when it first saw the row unchanged.'),
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
      heartbeatEveryMs: z
        .number()
        .positive()
        .default(250)
        .describe('Time between two heartbeats on a link.'),
      suspectAfterMs: z
        .number()
        .positive()
        .default(1_000)
        .describe('A peer that was not heard of for this long is suspected.'),
      listEveryMs: z
        .number()
        .positive()
        .default(1_000)
        .describe("Time between two reads of the platform's list."),
      entryPointsKeptMs: z
        .number()
        .positive()
        .default(2_000)
        .describe('How long callers keep an answer of `/v1/entry-points`.'),
      maxPeers: z
        .number()
        .int()
        .positive()
        .default(16)
        .describe('How many peers a node keeps links to.'),
    })
    .prefault({}),
  configuration: z
    .strictObject({
      followEveryMs: z
        .number()
        .positive()
        .default(1_000)
        .describe("Time between two reads of the log's head."),
      staleAfterMs: z
        .number()
        .positive()
        .default(600_000)
        .describe('Without word from table or peer for this long, no new work is taken.'),
    })
    .prefault({}),
  shards: z
    .strictObject({
      maxServers: z
        .number()
        .int()
        .positive()
        .default(16)
        .describe('Most backend servers in one shard.'),
      watchEveryMs: z
        .number()
        .positive()
        .default(500)
        .describe("Time between two looks of a shard's holder at a server, in milliseconds."),
    })
    .prefault({}),
  orders: z
    .strictObject({
      drainMs: z
        .number()
        .positive()
        .default(60_000)
        .describe(
          'An engine is kept free of new work this long at most before its change is given up.',
        ),
      tryAgainMs: z
        .number()
        .positive()
        .default(30_000)
        .describe('How long after a change was given up it is tried again.'),
      listLagMs: z
        .number()
        .positive()
        .default(30_000)
        .describe("How old the platform's list of VMs may be when it is read."),
    })
    .prefault({}),
  requests: z
    .strictObject({
      maxBodyBytes: z
        .number()
        .int()
        .positive()
        .default(2_000_000)
        .describe('Largest body taken, in bytes.'),
      readTimeoutMs: z
        .number()
        .positive()
        .default(10_000)
        .describe("A request's headers and body must have arrived within this time."),
      maxQueue: z
        .number()
        .int()
        .positive()
        .default(2_000)
        .describe('Most requests that wait for one shard.'),
      retryShare: z
        .number()
        .min(0)
        .max(1)
        .default(0.1)
        .describe(
          'Retries as a share of requests: for attempts that were declined, and for those that were cut, each.',
        ),
      maxAttempts: z
        .number()
        .int()
        .positive()
        .default(4)
        .describe('Most attempts for one request.'),
      fateKeptMs: z
        .number()
        .positive()
        .default(600_000)
        .describe('How long the fate of a finished request is remembered.'),
    })
    .prefault({}),
  /** Switches of the decisions on placement, each by itself, for comparisons. */
  decisions: z
    .strictObject({
      affinity: z
        .boolean()
        .default(true)
        .describe('Prefer the engine that has most of the prompt cached.'),
      fairness: z
        .boolean()
        .default(true)
        .describe(
          'Share between teams by tokens and weight; otherwise by priority and deadline alone.',
        ),
      admission: z.boolean().default(true).describe('Refuse at once what cannot be on time.'),
      shortReserve: z
        .boolean()
        .default(true)
        .describe('Bound the prompts being read on an engine and keep a share for short ones.'),
      ejection: z
        .boolean()
        .default(true)
        .describe('Give less, and then nothing, to servers that fail.'),
      handover: z
        .boolean()
        .default(true)
        .describe('Read prompts on one engine and generate on another, where roles ask for it.'),
      planner: z
        .boolean()
        .default(true)
        .describe("Change engines' roles with the mix, in the groups that allow it."),
      eagerPlanner: z
        .boolean()
        .default(false)
        .describe('For measurements only: follow the mix at once, whatever a change costs.'),
      placement: z
        .enum(['permits', 'least-reported', 'two-choices', 'round-robin'])
        .default('permits')
        .describe(
          "How requests get their places: by permits of the shard's holder, or, for measurements only, by each node alone.",
        ),
    })
    .prefault({}),
  claims: z
    .strictObject({
      gatherMs: z
        .number()
        .nonnegative()
        .default(2)
        .describe('Time for which claims are gathered into one transaction.'),
      maxPerTransaction: z
        .number()
        .int()
        .positive()
        .default(64)
        .describe('Most claims in one transaction.'),
      maxInlineBytes: z
        .number()
        .int()
        .positive()
        .default(8_192)
        .describe(
          'Answers up to this size are stored in the table, larger ones in the object store.',
        ),
      retentionMs: z
        .number()
        .positive()
        .default(86_400_000)
        .describe('How long an answer stays known under its key.'),
      sweepPerSecond: z
        .number()
        .positive()
        .default(20)
        .describe('Claims removed a second by this node, at most.'),
    })
    .prefault({}),
  shutdown: z
    .strictObject({
      graceMs: z
        .number()
        .positive()
        .default(120_000)
        .describe('How long in-flight requests may take before the process gives up waiting.'),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z
        .enum(['debug', 'info', 'warn', 'error'])
        .default('info')
        .describe('Least serious level of events that is written.'),
    })
    .prefault({}),
});

/** The settings of one node. */
export type Settings = z.infer<typeof settingsSchema>;

/** Which mechanisms take part in the decisions on placement. */
export type Decisions = Settings['decisions'];
