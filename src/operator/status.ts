/**
 * What operators are told and may ask for, as JSON on the operator front. The command line reads
 * the same schemas.
 */
import * as z from 'zod';
import {
  changeSchema,
  findingSchema,
  readObjectSchema,
  storedObjectSchema,
} from '../configuration/index.js';
import { nodeStateSchema, shardSummarySchema } from '../links/messages.js';

export const nodeStatusSchema = z.object({
  /** This node. */
  node: nodeStateSchema,
  /** Every node that this one knows of. */
  nodes: z.array(nodeStateSchema),
  /** The newest summary of every shard that this node knows of. */
  shards: z.array(shardSummarySchema),
  /** This node's lease; `validForMs` is 0 where it holds none. */
  lease: z.object({ held: z.boolean(), validForMs: z.number() }),
  configurationVersion: z.number().int().nonnegative(),
  /** Whether it takes new work. */
  ready: z.boolean(),
  /** Whether it is shutting down. */
  leaving: z.boolean(),
});

/** The state of a node and of what it knows of the others. */
export type NodeStatus = z.infer<typeof nodeStatusSchema>;

export const storedKindSchema = changeSchema.shape.kind;

export const objectReferenceSchema = z.strictObject({ kind: storedKindSchema, name: z.string() });

export const changesRequestSchema = z.strictObject({
  objects: z.array(storedObjectSchema).default([]),
  removals: z.array(objectReferenceSchema).default([]),
  /** Accepts a change that leaves a team with nowhere to go. */
  force: z.boolean().default(false),
  /** Refuses the change when one of these has another version by now; 0 for "does not exist". */
  expected: z
    .array(objectReferenceSchema.extend({ version: z.number().int().nonnegative() }))
    .default([]),
});

/** An operator's wish to change objects, as one transaction. */
export type ChangesRequest = z.infer<typeof changesRequestSchema>;

export const labelsRequestSchema = z.strictObject({
  set: z.record(z.string(), z.string()).default({}),
  remove: z.array(z.string()).default([]),
  force: z.boolean().default(false),
});

/** An operator's wish to change the labels of one object or VM. */
export type LabelsRequest = z.infer<typeof labelsRequestSchema>;

export const ordersSettledRequestSchema = z.strictObject({
  /** The former holder's fencing number: none of its orders can reach the engine any more. */
  fence: z.number().int().positive(),
});

export const acceptedSchema = z.object({
  /** The version that has all of the change. */
  version: z.number().int().nonnegative(),
  changed: z.array(objectReferenceSchema),
  warnings: z.array(findingSchema),
});

/** An accepted change; `inForceSchema` tells how far it has come. */
export type Accepted = z.infer<typeof acceptedSchema>;

export const listedObjectSchema = z.object({
  /** The version of its last change. */
  version: z.number().int().positive(),
  author: z.string(),
  object: readObjectSchema,
});

/** An object with its version. */
export type ListedObject = z.infer<typeof listedObjectSchema>;

export const listedObjectsSchema = z.object({
  /** The configuration that was read. */
  version: z.number().int().nonnegative(),
  objects: z.array(listedObjectSchema),
});

/** Objects of one kind. */
export type ListedObjects = z.infer<typeof listedObjectsSchema>;

export const inForceSchema = z.object({
  version: z.number().int().nonnegative(),
  /** Nodes that have it in force. */
  inForce: z.number().int().nonnegative(),
  /** Nodes known. */
  nodes: z.number().int().nonnegative(),
  /** Names of the nodes that do not have it yet. */
  behind: z.array(z.string()),
});

/** How far a version has come. */
export type InForce = z.infer<typeof inForceSchema>;
