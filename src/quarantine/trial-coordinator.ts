/**
 * Serializes trials: requests under which a server has crashed run one at a time. One gateway of the fleet coordinates
 * the trials of a service. It tracks where they run, so that different suspected requests use different servers where
 * possible: a crash of a shared server would count against all of them.
 */

/** A gateway's request for a trial. */
export interface TrialRequest {
  /** The requesting gateway. */
  node: string;
  /** Unique at that gateway. */
  id: string;
  service: string;
  /** Fingerprint of the suspected request. */
  fingerprint: string;
}

/** Coordinates the trials of services. */
export interface TrialCoordinator {
  /** Requests a trial; returns whether it may start now. Otherwise it is queued behind the running trial. */
  enqueue(request: TrialRequest): boolean;
  /** Records the server on which a trial runs. */
  placed(node: string, id: string, server: string): void;
  /** Removes a trial that has ended or was cancelled. Returns the one that may start now. */
  ended(node: string, id: string): TrialRequest | undefined;
  /** Removes the trials of a lost gateway. Returns the trials of other gateways that may start now. */
  lost(node: string): TrialRequest[];
  /** Servers on which other trials of the service run. */
  serversOfOtherTrials(request: TrialRequest): string[];
}

interface TrialState {
  request: TrialRequest;
  isRunning: boolean;
  server: string | undefined;
}

/** Creates a coordinator without trials. */
export function createTrialCoordinator(): TrialCoordinator {
  /** By gateway and id, in the order in which they were requested. */
  const trials = new Map<string, TrialState>();

  function isTrialRunning({ service, fingerprint }: TrialRequest): boolean {
    for (const { request, isRunning } of trials.values()) {
      if (isRunning && request.fingerprint === fingerprint && request.service === service)
        return true;
    }
    return false;
  }

  function startNext(previous: TrialRequest): TrialRequest | undefined {
    if (isTrialRunning(previous)) return undefined;
    for (const trial of trials.values()) {
      const { request } = trial;
      if (request.fingerprint !== previous.fingerprint || request.service !== previous.service)
        continue;
      trial.isRunning = true;
      return request;
    }
    return undefined;
  }

  function ended(node: string, id: string): TrialRequest | undefined {
    const trial = trials.get(trialKey(node, id));
    if (trial === undefined) return undefined;
    trials.delete(trialKey(node, id));
    return startNext(trial.request);
  }

  return {
    enqueue(request) {
      const isRunning = !isTrialRunning(request);
      trials.set(trialKey(request.node, request.id), { request, isRunning, server: undefined });
      return isRunning;
    },
    placed(node, id, server) {
      const trial = trials.get(trialKey(node, id));
      if (trial !== undefined) trial.server = server;
    },
    ended,
    lost(node) {
      const next: TrialRequest[] = [];
      for (const { request } of [...trials.values()]) {
        if (request.node !== node) continue;
        // May start another trial of the lost gateway, which is then removed in a later iteration.
        const started = ended(node, request.id);
        if (started !== undefined && started.node !== node) next.push(started);
      }
      return next;
    },
    serversOfOtherTrials({ service, node, id }) {
      const servers = new Set<string>();
      for (const { request, server } of trials.values()) {
        const isOwn = request.node === node && request.id === id;
        if (server !== undefined && request.service === service && !isOwn) servers.add(server);
      }
      return [...servers];
    },
  };
}

function trialKey(node: string, id: string): string {
  return `${node}/${id}`;
}
