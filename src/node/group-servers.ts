/**
 * Which backend servers and shards belong to a group. Looking at every server for every request
 * would cost each node requests times servers, so answers are kept until the configuration or the
 * list of servers changes.
 */
import {
  explainNoNewWork,
  isMember,
  type ConfigurationSnapshot,
  type EngineGroup,
} from '../configuration/index.js';
import type { Vm } from '../ports/index.js';
import type { Shard } from '../shards/index.js';

/** What membership of groups follows from; each is the same object until it changes. */
export interface GroupServersParts {
  snapshot(): ConfigurationSnapshot;
  shards(): readonly Shard[];
}

/** The servers of groups. */
export interface GroupServers {
  /** Shards with servers of a group. */
  shardsOf(group: EngineGroup): Shard[];
  /** Servers of a group that may get new work. */
  serversOf(group: EngineGroup): Vm[];
  /** Name of the shard that a server belongs to, by the server's id. */
  shardOf(server: string): string | undefined;
}

interface Answers {
  snapshot: ConfigurationSnapshot;
  shards: readonly Shard[];
  shardsByGroup: Map<EngineGroup, Shard[]>;
  serversByGroup: Map<EngineGroup, Vm[]>;
  shardByServer: Map<string, string>;
}

/**
 * Creates an empty store of answers.
 *
 * @param parts what they follow from
 */
export function createGroupServers(parts: GroupServersParts): GroupServers {
  let answers: Answers | undefined;

  function current(): Answers {
    const snapshot = parts.snapshot();
    const shards = parts.shards();
    if (answers?.snapshot !== snapshot || answers.shards !== shards) {
      answers = {
        snapshot,
        shards,
        shardsByGroup: new Map(),
        serversByGroup: new Map(),
        shardByServer: indexServers(shards),
      };
    }
    return answers;
  }

  return {
    shardsOf(group) {
      const { snapshot, shards, shardsByGroup } = current();
      const known = shardsByGroup.get(group);
      if (known !== undefined) return known;
      const found = shards.filter(({ vms }) => vms.some((vm) => isMember(snapshot, group, vm)));
      shardsByGroup.set(group, found);
      return found;
    },
    serversOf(group) {
      const { snapshot, shards, serversByGroup } = current();
      const known = serversByGroup.get(group);
      if (known !== undefined) return known;
      const found = listServers(snapshot, shards, group);
      serversByGroup.set(group, found);
      return found;
    },
    shardOf: (server) => current().shardByServer.get(server),
  };
}

function indexServers(shards: readonly Shard[]): Map<string, string> {
  const index = new Map<string, string>();
  for (const { name, vms } of shards) {
    for (const { id } of vms) {
      index.set(id, name);
    }
  }
  return index;
}

function listServers(
  snapshot: ConfigurationSnapshot,
  shards: readonly Shard[],
  group: EngineGroup,
): Vm[] {
  const servers: Vm[] = [];
  for (const { vms } of shards) {
    for (const vm of vms) {
      if (!isMember(snapshot, group, vm)) continue;
      if (explainNoNewWork(snapshot, vm) === undefined) servers.push(vm);
    }
  }
  return servers;
}
