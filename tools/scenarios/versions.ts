/**
 * Watches which configuration each node has, all through a scenario: a node that takes work may
 * never go back to an older one.
 */
import type { Cluster } from '../common/index.js';

/** A watch that runs. */
export interface VersionWatch {
  /** One line for each time that a node went back. */
  reversions(): string[];
  /** Resolves with the time until all running nodes have a version, in milliseconds. */
  waitFor(version: number): Promise<number>;
  stop(): void;
}

const POLL_MS = 100;
const IN_FORCE_POLL_MS = 20;
const IN_FORCE_TIMEOUT_MS = 120_000;

/** Begins to watch. */
export function watchVersions(cluster: Cluster): VersionWatch {
  const newest = new Map<string, number>();
  const reversions: string[] = [];
  let stopped = false;

  async function look(): Promise<void> {
    for (const node of cluster.running()) {
      const status = await cluster.status(node);
      if (status?.ready !== true) continue;
      const known = newest.get(node) ?? 0;
      const version = status.configurationVersion;
      if (version < known) reversions.push(`${node} went back from ${known} to ${version}`);
      newest.set(node, Math.max(known, version));
    }
    if (!stopped) setTimeout(() => void look(), POLL_MS);
  }

  async function hasEverywhere(version: number): Promise<boolean> {
    for (const node of cluster.running()) {
      const status = await cluster.status(node);
      if (status === undefined || status.configurationVersion < version) return false;
    }
    return true;
  }

  void look();
  return {
    reversions: () => reversions,
    async waitFor(version) {
      const startedAt = performance.now();
      while (!stopped && !(await hasEverywhere(version))) {
        if (performance.now() - startedAt > IN_FORCE_TIMEOUT_MS) return Infinity;
        await new Promise((resolve) => setTimeout(resolve, IN_FORCE_POLL_MS));
      }
      return performance.now() - startedAt;
    },
    stop() {
      stopped = true;
    },
  };
}
