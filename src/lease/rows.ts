/**
 * Lease rows. Each node renews one row, regardless of the number of shards that it holds.
 */
import * as z from 'zod';

export const leaseHolderSchema = z.object({
  node: z.string(),
  /** Changes with every start of the process. */
  incarnation: z.string(),
  /** Changes whenever the lease is lost and acquired again. */
  leaseId: z.string(),
  /** Address at which the process listens for peers. Only one process can listen there at a time. */
  peer: z.string(),
});

/** The identity under which a process holds its lease and shards. A lease id is never reused. */
export type LeaseHolder = z.infer<typeof leaseHolderSchema>;

export const nodeRowSchema = z.object({
  holder: leaseHolderSchema,
  state: z.enum(['held', 'released', 'lapsed']),
  /** Incremented with each renewal, so that a renewal whose answer was lost can be recognised. */
  counter: z.number().int().nonnegative(),
});

/** The lease of one node. */
export type NodeRow = z.infer<typeof nodeRowSchema>;

const NODE_PREFIX = 'nodes/';

/** Prefix of all node rows. */
export const nodeRowPrefix = NODE_PREFIX;

/**
 * Key of a node's row.
 *
 * @param node the node's name
 */
export function nodeRowKey(node: string): string {
  return `${NODE_PREFIX}${node}`;
}

/**
 * Parses a node row; `undefined` if the value is not a node row.
 *
 * @param value a row's value as read from the table
 */
export function parseNodeRow(value: unknown): NodeRow | undefined {
  const parsed = nodeRowSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
