/** Table rows of the holders of shards. */
import * as z from 'zod';
import { leaseHolderSchema } from '../lease/index.js';

export const shardRowSchema = z.object({
  holder: leaseHolderSchema,
  /** Increases each time the shard is taken. */
  fence: z.number().int().positive(),
  /** True after the holder released the shard without work in progress. */
  released: z.boolean(),
});

/** The holder of a shard. */
export type ShardRow = z.infer<typeof shardRowSchema>;

/**
 * Returns the key of a shard's row.
 *
 * @param shard name of the shard
 */
export function shardRowKey(shard: string): string {
  return `shards/${shard}`;
}

/**
 * Parses a shard row; `undefined` if the value is not valid.
 *
 * @param value a row's value as read from the table
 */
export function parseShardRow(value: unknown): ShardRow | undefined {
  const parsed = shardRowSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
