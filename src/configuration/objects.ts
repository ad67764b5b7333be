/**
 * The objects that operators write: teams, request classes, engine groups and bindings. Types are
 * inferred from the schemas; a key that is not listed here is an error.
 */
import * as z from 'zod';
import { tolerate } from './tolerance.js';
import { labelsSchema } from '../ports/index.js';

const NAME_PATTERN = /^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$/;

const nameSchema = z
  .string()
  .regex(NAME_PATTERN, 'expected 1 to 63 lower-case letters, digits, dots or hyphens');

/**
 * A selector over labels: every equality and every set requirement must hold. An empty selector
 * matches everything.
 */
export const selectorSchema = z.strictObject({
  /** Labels that must have exactly these values. */
  matchLabels: labelsSchema.default({}),
  /** Requirements of the set form. */
  matchExpressions: z
    .array(
      z.strictObject({
        key: z.string(),
        operator: z.enum(['In', 'NotIn', 'Exists', 'DoesNotExist']),
        values: z.array(z.string()).default([]),
      }),
    )
    .default([]),
});

/** A selector over labels. */
export type Selector = z.infer<typeof selectorSchema>;

export const limitsSchema = z.strictObject({
  /** Requests a second over all nodes; none when absent. */
  requestsPerSecond: z.number().positive().optional(),
  /** Requests in flight over all nodes; none when absent. */
  concurrency: z.number().int().positive().optional(),
  /** Prompt and output tokens a minute over all nodes; none when absent. */
  tokensPerMinute: z.number().positive().optional(),
});

/** Limits of a team, held over all nodes. */
export type Limits = z.infer<typeof limitsSchema>;

export const teamSchema = z.strictObject({
  kind: z.literal('team'),
  name: nameSchema,
  labels: labelsSchema.default({}),
  /** SHA-256 of each API key, in hexadecimal. `reedtally hash-key` makes them. */
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).default([]),
  /** Share of an engine in relation to other teams. */
  weight: z.number().positive().default(1),
  limits: limitsSchema.default({}),
});

/** A customer, small or large. */
export type Team = z.infer<typeof teamSchema>;

export const requestClassSchema = z.strictObject({
  kind: z.literal('class'),
  name: nameSchema,
  labels: labelsSchema.default({}),
  /** Lower is sooner. */
  priority: z.number().int().min(0).max(9).default(5),
  /** Time from arrival to the first token, or to the whole answer of a plain service. */
  firstTokenMs: z.number().positive().default(2_000),
  /** Longest time between two tokens. */
  betweenTokensMs: z.number().positive().default(250),
  /** Time from arrival to the whole answer, where the caller names no deadline. */
  deadlineMs: z.number().positive().default(60_000),
  /** Output tokens assumed until the class's own have been seen. */
  expectedOutputTokens: z.number().int().positive().default(128),
  /** Whether a request may be run again after it was cut. */
  repeatable: z.boolean().default(true),
});

/** A kind of request, with what being on time means for it. */
export type RequestClass = z.infer<typeof requestClassSchema>;

export const engineGroupSchema = z.strictObject({
  kind: z.literal('group'),
  name: nameSchema,
  labels: labelsSchema.default({}),
  /** Which backend servers belong to it, by the labels of their VMs. */
  selector: selectorSchema,
  /** The model that its engines serve; absent for plain services. */
  model: z.string().optional(),
  /** The plain service that its workers provide; absent for engines. */
  service: z.string().optional(),
  /** Adapters that its engines are to have loaded. */
  adapters: z.array(z.string()).default([]),
  /** How many engines the planner may give to each role; no planning when absent. */
  roles: z
    .strictObject({
      /** Worth of one role change in seconds of a whole engine's work; higher means fewer changes. */
      changeCost: z.number().nonnegative().default(30),
      /** Time between two plans. */
      horizonMs: z.number().positive().default(30_000),
      /** How many engines may be changing at once. */
      maxAtOnce: z.number().int().positive().default(1),
    })
    .optional(),
});

/** A set of backend servers that serve the same model or plain service. */
export type EngineGroup = z.infer<typeof engineGroupSchema>;

export const bindingSchema = z.strictObject({
  kind: z.literal('binding'),
  name: nameSchema,
  labels: labelsSchema.default({}),
  teams: selectorSchema,
  classes: selectorSchema,
  groups: selectorSchema,
  /** The higher goes first where several bindings match; equal ones add their groups. */
  precedence: z.number().int().default(0),
});

/** Lets teams use request classes on engine groups. */
export type Binding = z.infer<typeof bindingSchema>;

export const configurationObjectSchema = z.discriminatedUnion('kind', [
  teamSchema,
  requestClassSchema,
  engineGroupSchema,
  bindingSchema,
]);

/** Any object of the configuration. */
export type ConfigurationObject = z.infer<typeof configurationObjectSchema>;

/** The kinds of objects. */
export type ObjectKind = ConfigurationObject['kind'];

/** Labels that operators put on a VM; they add to and go before the platform's own. */
export const vmLabelsSchema = z.strictObject({
  kind: z.literal('vm'),
  name: z.string(),
  labels: labelsSchema.default({}),
  /** Set by `reedtally drain`: the backend server gets no new work. */
  drained: z.boolean().default(false),
  /** An operator's word that no earlier order can still reach the engine. */
  ordersSettled: z.number().int().nonnegative().default(0),
});

/** An operator's labels on a VM. */
export type VmLabels = z.infer<typeof vmLabelsSchema>;

/** Whatever the log of changes may hold. */
export const storedObjectSchema = z.discriminatedUnion('kind', [
  teamSchema,
  requestClassSchema,
  engineGroupSchema,
  bindingSchema,
  vmLabelsSchema,
]);

/** The same as read from the table, a peer or a node, which may be of a newer version. */
export const readObjectSchema = tolerate(storedObjectSchema);

/** An object as it is stored. */
export type StoredObject = z.infer<typeof storedObjectSchema>;

export const changeSchema = z.object({
  /** Number of the change in the log; the first is 1 and there are no gaps. */
  version: z.number().int().positive(),
  kind: z.enum(['team', 'class', 'group', 'binding', 'vm']),
  name: z.string(),
  /** The object from now on; `null` when it was removed. */
  object: readObjectSchema.nullable(),
  /** Who made the change, for the log. */
  author: z.string(),
  /** Identifies the attempt, so that a lost answer can be settled by reading back. */
  attempt: z.string(),
});

/** One accepted change of the configuration. */
export type Change = z.infer<typeof changeSchema>;

export const changeBatchSchema = z.object({
  /** The oldest first. */
  changes: z.array(changeSchema),
  /** The newest version that the sender has in force; 0 when it has none. */
  newest: z.number().int().nonnegative(),
  /**
   * False: `changes` follow the version asked for without a gap. True: they are the last change of
   * each object that exists at `newest`, the whole configuration, and stand in place of what the
   * receiver had.
   */
  compacted: z.boolean(),
});

/** Changes, as one replica hands them to another. */
export type ChangeBatch = z.infer<typeof changeBatchSchema>;
