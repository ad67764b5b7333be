/**
 * How much of its machine's memory a process may hold for others. What it needs itself is measured, and part of the rest is
 * left to what is freed but not collected yet.
 */

/** Budget where the memory of the machine is not known, in bytes. */
export const DEFAULT_BUDGET_BYTES = 128 * 1024 * 1024;
/** Least budget, in bytes: a process serves small requests however little memory it has. */
const MIN_BUDGET_BYTES = 8 * 1024 * 1024;
/** Part of the memory beyond the process's own that is held at most: the rest is for bytes that wait to be collected. */
const HELD_SHARE = 0.4;

/**
 * Resolves the budget.
 *
 * @param memoryBytes memory of the machine; `undefined` if not known
 * @param ownBytes resident memory of the process while it holds nothing for others
 */
export function resolveBudgetBytes(memoryBytes: number | undefined, ownBytes: number): number {
  if (memoryBytes === undefined) return DEFAULT_BUDGET_BYTES;
  return Math.max(MIN_BUDGET_BYTES, (memoryBytes - ownBytes) * HELD_SHARE);
}
