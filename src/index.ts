/**
 * The library: the coordination parts, for programs that embed them. `docs/EMBEDDING.md` shows a
 * short program for each; what is not exported here may change without notice.
 */
export * from './claims/index.js';
export * from './configuration/index.js';
export * from './errors/index.js';
export * from './events/index.js';
export * from './lease/index.js';
export type * from './links/messages.js';
export { createMetrics, type Metrics } from './metrics/index.js';
export { createNode, runNode, type Node, type NodeAddresses, type Secrets } from './node/index.js';
export {
  createFormerHolders,
  createOrderJournal,
  createShardOrders,
  resolveNextStep,
  type EngineView,
  type FormerHolders,
  type FormerHoldersParts,
  type JournalEntry,
  type JournalOutcome,
  type NextStep,
  type OrderJournal,
  type OrderTally,
  type OrderTerms,
  type ShardOrders,
  type ShardOrdersParts,
} from './orders/index.js';
export { createShardHolder, type ShardHolder, type ShardHolderParts } from './permits/index.js';
export * from './ports/http/index.js';
export * from './ports/index.js';
export {
  createBackends,
  createCompletionRunner,
  createDirectPlacement,
  createHolderPlacement,
  createPlacesInUse,
  createRetryBudget,
  createServiceCallRunner,
  type Backends,
  type CompletionJob,
  type CompletionRunner,
  type Placement,
  type ServiceCallRunner,
  type ServiceJob,
} from './router/index.js';
export {
  describeIssues,
  loadSecret,
  loadSettings,
  settingsSchema,
  type Decisions,
  type ValidationIssue,
  type Secret,
  type Settings,
} from './settings/index.js';
export {
  createOwnership,
  parseShardRow,
  resolveShards,
  shardRowKey,
  type HeldShard,
  type Ownership,
  type OwnershipParts,
  type Shard,
  type ShardRow,
} from './shards/index.js';
export * from './task/index.js';
