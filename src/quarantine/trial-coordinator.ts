/**
 * Lets requests under which a server has ended run one at a time. One gateway of the fleet coordinates the trials of a
 * service; it knows which of its suspected requests run, and where, so that no two of them share a server while there
 * is another: of two that share one, its end would count against both.
 */

/** Where a trial was asked for. */
export interface TrialRequest {
  /** The gateway that asked. */
  node: string;
  /** Names the trial at that gateway. */
  id: string;
  service: string;
  /** The request. */
  fingerprint: string;
}

/** The trials of the services that this gateway coordinates. */
export interface TrialCoordinator {
  /** Asks for a trial; tells whether it may begin now. Otherwise it waits for the one before it. */
  request(claim: TrialRequest): boolean;
  /** A trial runs at a server. */
  placed(node: string, id: string, server: string): void;
  /** A trial is over, or is not wanted any more. Gives the one that may begin now. */
  ended(node: string, id: string): TrialRequest | undefined;
  /** A gateway is lost, and its trials with it. Gives those that may begin now. */
  lost(node: string): TrialRequest[];
  /** Servers at which other trials of the service run. */
  serversOfOtherTrials(claim: TrialRequest): string[];
}

interface Trial {
  claim: TrialRequest;
  isRunning: boolean;
  server: string | undefined;
}

/** Creates a coordinator without trials. */
export function createTrialCoordinator(): TrialCoordinator {
  /** In the order in which they were asked for. */
  const trials = new Map<string, Trial>();

  function isTaken({ service, fingerprint }: TrialRequest): boolean {
    for (const { claim, isRunning } of trials.values()) {
      if (isRunning && claim.fingerprint === fingerprint && claim.service === service) return true;
    }
    return false;
  }

  function startNext(over: TrialRequest): TrialRequest | undefined {
    if (isTaken(over)) return undefined;
    for (const trial of trials.values()) {
      const { claim } = trial;
      if (claim.fingerprint !== over.fingerprint || claim.service !== over.service) continue;
      trial.isRunning = true;
      return claim;
    }
    return undefined;
  }

  function ended(node: string, id: string): TrialRequest | undefined {
    const trial = trials.get(resolveKey(node, id));
    if (trial === undefined) return undefined;
    trials.delete(resolveKey(node, id));
    return startNext(trial.claim);
  }

  return {
    request(claim) {
      const isRunning = !isTaken(claim);
      trials.set(resolveKey(claim.node, claim.id), { claim, isRunning, server: undefined });
      return isRunning;
    },
    placed(node, id, server) {
      const trial = trials.get(resolveKey(node, id));
      if (trial !== undefined) trial.server = server;
    },
    ended,
    lost(node) {
      const next: TrialRequest[] = [];
      for (const { claim } of [...trials.values()]) {
        if (claim.node !== node) continue;
        const started = ended(node, claim.id);
        if (started !== undefined && started.node !== node) next.push(started);
      }
      return next;
    },
    serversOfOtherTrials({ service, node, id }) {
      const found = new Set<string>();
      for (const { claim, server } of trials.values()) {
        const isOwn = claim.node === node && claim.id === id;
        if (server !== undefined && claim.service === service && !isOwn) found.add(server);
      }
      return [...found];
    },
  };
}

function resolveKey(node: string, id: string): string {
  return `${node}/${id}`;
}
