/**
 * Mechanisms that a control switches off, each by a wrapper around a port. With one of them off the
 * matrix has to find the violation that it prevents.
 */
import type { Links } from '../../src/links/index.js';
import type {
  EngineStream,
  ModelEngine,
  PlainService,
  TableService,
  VmList,
} from '../../src/ports/index.js';

/** A mechanism that can be switched off. */
export type Mechanism =
  | 'fencing'
  | 'claims'
  | 'read-back'
  | 'drain-wait'
  | 'request-ids'
  | 'resume-position'
  | 'configuration-conditions'
  | 'leaving-word'
  | 'idle-wait'
  | 'version-order';

/**
 * A table on which some conditions are not checked or lost answers are taken for failed writes.
 *
 * @param table the table
 * @param off the mechanism that is off, if any
 */
export function weakenTable(table: TableService, off: Mechanism | undefined): TableService {
  const prefixes = unconditionalPrefixes(off);
  if (prefixes.length === 0 && off !== 'read-back') return table;
  return {
    get: (key) => table.get(key),
    range: (range) => table.range(range),
    async transact(transaction) {
      const conditions = transaction.conditions.filter(
        ({ key }) => !prefixes.some((prefix) => key.startsWith(prefix)),
      );
      const outcome = await table.transact({ ...transaction, conditions });
      if (off !== 'read-back' || outcome.kind !== 'unknown') return outcome;
      return { kind: 'unavailable', failure: { ...outcome.failure, outcome: 'not-run' } };
    },
  };
}

function unconditionalPrefixes(off: Mechanism | undefined): string[] {
  if (off === 'claims') return ['claims/'];
  if (off === 'configuration-conditions') return ['configuration/'];
  return [];
}

/**
 * An engine whose chunks all seem to be of the request, or whose streams cannot be resumed.
 *
 * @param engine the engine
 * @param off the mechanism that is off, if any
 */
export function weakenEngine(engine: ModelEngine, off: Mechanism | undefined): ModelEngine {
  if (off === 'idle-wait') return { ...engine, load: () => loadNothing(engine) };
  if (off !== 'request-ids' && off !== 'resume-position') return engine;
  async function* generate(
    request: Parameters<ModelEngine['generate']>[0],
    signal: AbortSignal,
  ): EngineStream {
    const start = request.resumeFrom;
    const sent = off === 'resume-position' ? { ...request, resumeFrom: 0 } : request;
    let index = start;
    for await (const item of engine.generate(sent, signal)) {
      if (item.isOk()) {
        // Numbered as it comes and under the expected id: neither check can see the difference.
        item.value.requestId = request.requestId;
        item.value.index = index;
        index += 1;
      }
      yield item;
    }
  }
  return { ...engine, generate };
}

/**
 * A worker whose own word that it leaves is not heard.
 *
 * @param service the worker
 * @param off the mechanism that is off, if any
 */
export function weakenService(service: PlainService, off: Mechanism | undefined): PlainService {
  if (off !== 'leaving-word') return service;
  return {
    ...service,
    state: async () => (await service.state()).map((state) => ({ ...state, leaving: false })),
  };
}

/**
 * A list that shows leaving VMs as live ones.
 *
 * @param list the list
 * @param off the mechanism that is off, if any
 */
export function weakenVmList(list: VmList, off: Mechanism | undefined): VmList {
  if (off !== 'leaving-word') return list;
  return {
    list: async () =>
      (await list.list()).map((vms) => vms.map((vm) => ({ ...vm, state: 'live' as const }))),
  };
}

async function loadNothing(engine: ModelEngine): ReturnType<ModelEngine['load']> {
  return (await engine.load()).map((report) => ({ ...report, running: 0, waiting: 0 }));
}

/**
 * Links over which a router gives back each permit as soon as it has it, so that its holder sees
 * nothing running; or on which a request for a permit does not say under which configuration it was
 * made, so that its holder looks at it under an older one.
 *
 * @param links the links
 * @param off the mechanism that is off, if any
 */
export function weakenLinks(links: Links, off: Mechanism | undefined): Links {
  if (off === 'version-order') return withoutVersions(links);
  if (off !== 'idle-wait') return links;
  return {
    ...links,
    notify(peer, notice) {
      if (notice.kind !== 'permit.adopt') links.notify(peer, notice);
    },
    async query(peer, query, timeoutMs) {
      const answer = await links.query(peer, query, timeoutMs);
      if (answer.isErr() || answer.value.kind !== 'permit.granted') return answer;
      const { permitId, shard, server } = answer.value.permit;
      links.notify(peer, {
        kind: 'permit.release',
        shard,
        permitId,
        server,
        requestId: '',
        team: '',
        class: '',
        result: 'answered',
        promptTokens: 0,
        cachedTokens: 0,
        outputTokens: 0,
        totalMs: 0,
      });
      return answer;
    },
  };
}

function withoutVersions(links: Links): Links {
  return {
    ...links,
    query(peer, query, timeoutMs) {
      const sent = query.kind === 'permit.request' ? { ...query, configurationVersion: 0 } : query;
      return links.query(peer, sent, timeoutMs);
    },
  };
}
