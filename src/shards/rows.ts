/** The table rows that say who holds a shard. */
import * as z from 'zod';
import { leaseHolderSchema } from '../lease/index.js';

export const shardRowSchema = z.object({
  holder: leaseHolderSchema,
  /** Grows each time that the shard is taken. */
  fence: z.number().int().positive(),
  /** True after the holder gave the shard back with nothing under way. */
  released: z.boolean(),
});

/** Who holds a shard. */
export type ShardRow = z.infer<typeof shardRowSchema>;

/**
 * Key of a shard's row.
 *
 * @param shard name of the shard
 */
export function shardRowKey(shard: string): string {
  return `shards/${shard}`;
}

/**
 * Reads a shard row; `undefined` when the value is none.
 *
 * @param value a row's value as the table gave it
 */
export function parseShardRow(value: unknown): ShardRow | undefined {
  const parsed = shardRowSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
