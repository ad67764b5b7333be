/** Common load-balancing strategies of a router that picks servers by itself. */
import { match } from 'ts-pattern';
import type { Vm } from '../../ports/index.js';
import type { Settings } from '../../settings/index.js';
import type { RandomSource } from '../../task/index.js';

/** Returns the estimated number of requests on a server. */
export type LoadLookup = (server: string) => number;

/** A load-balancing strategy. */
export interface ServerPick {
  /** @returns `undefined` when `servers` is empty */
  pick(servers: readonly Vm[], loadOf: LoadLookup): Vm | undefined;
}

/** Round robin, separately for each service. */
export class RoundRobinPick implements ServerPick {
  readonly #next = new Map<string, number>();

  pick(servers: readonly Vm[]): Vm | undefined {
    const service = servers[0]?.service ?? '';
    const next = this.#next.get(service) ?? 0;
    this.#next.set(service, next + 1);
    return servers[next % servers.length];
  }
}

/** The server with the least load; ties are broken at random. */
export class LeastReportedPick implements ServerPick {
  readonly #random: RandomSource;

  /** @param random breaks ties */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  pick(servers: readonly Vm[], loadOf: LoadLookup): Vm | undefined {
    let least = Number.POSITIVE_INFINITY;
    let tied: Vm[] = [];
    for (const server of servers) {
      const load = loadOf(server.id);
      if (load > least) continue;
      if (load < least) tied = [];
      least = load;
      tied.push(server);
    }
    return tied[Math.floor(this.#random.next() * tied.length)];
  }
}

/** Power of two choices: the less loaded of two different random servers. */
export class TwoChoicesPick implements ServerPick {
  readonly #random: RandomSource;

  /** @param random draws the two servers */
  constructor(random: RandomSource) {
    this.#random = random;
  }

  pick(servers: readonly Vm[], loadOf: LoadLookup): Vm | undefined {
    const first = this.#draw(servers);
    const second = this.#draw(servers.filter((server) => server !== first)) ?? first;
    if (first === undefined || second === undefined) return undefined;
    return loadOf(second.id) < loadOf(first.id) ? second : first;
  }

  #draw(servers: readonly Vm[]): Vm | undefined {
    return servers[Math.floor(this.#random.next() * servers.length)];
  }
}

/**
 * Creates the strategy named in the settings.
 *
 * @param placement the setting `decisions.placement`
 * @param random random source of the strategies
 * @returns `undefined` when holders place the requests
 */
export function resolvePick(
  placement: Settings['decisions']['placement'],
  random: RandomSource,
): ServerPick | undefined {
  return match(placement)
    .returnType<ServerPick | undefined>()
    .with('permits', () => undefined)
    .with('least-reported', () => new LeastReportedPick(random))
    .with('two-choices', () => new TwoChoicesPick(random))
    .with('round-robin', () => new RoundRobinPick())
    .exhaustive();
}
