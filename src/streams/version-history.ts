/**
 * The software versions of each service's servers that may have begun a stream which can still be continued: those that
 * are registered now, and those that were until a while ago. A gateway that has just started knows the latter only from
 * the platform (`version-rows.ts`) or from peers.
 */

/** Stands for the version of a server whose entry came without one. */
export const UNKNOWN_VERSION = '';

/** Versions that may have begun streams of a service. */
export interface KnownVersions {
  /** Without duplicates, ordered. */
  versions: readonly string[];
  /** Whether there can be no others. */
  isComplete: boolean;
}

/** Dependencies of the history. */
export interface VersionHistoryParts {
  now(): number;
  /** Versions of a service's registered servers, whether or not they take new requests. */
  registered(service: string): Iterable<string | undefined>;
  /** How long after its beginning a stream may be continued, in milliseconds. */
  keepMs(): number;
  /** When a gateway was last there that stores no versions, by the same clock as `now`. */
  lastWithoutRowsAt(): number;
}

/** Versions by service. */
export interface VersionHistory {
  /** A server of a service was registered at a version until now. */
  seen(service: string, version: string | undefined): void;
  /** The versions stored for a service were read; with those seen since, they are all. */
  loaded(service: string, versions: readonly string[]): void;
  /** Whether the versions stored for a service were read. */
  isLoaded(service: string): boolean;
  /** What is stored may be older than what is known; it counts no more as all. */
  storedLost(): void;
  versions(service: string): KnownVersions;
}

/**
 * Creates a history that begins now.
 *
 * @param parts the clock and the registered servers
 */
export function createVersionHistory(parts: VersionHistoryParts): VersionHistory {
  const beganAt = parts.now();
  const seenAt = new Map<string, Map<string, number>>();
  const loadedServices = new Set<string>();

  function timesOf(service: string): Map<string, number> {
    const times = seenAt.get(service) ?? new Map<string, number>();
    seenAt.set(service, times);
    return times;
  }

  function seen(service: string, version = UNKNOWN_VERSION): void {
    timesOf(service).set(version, parts.now());
  }

  return {
    seen,
    loaded(service, versions) {
      for (const version of versions) seen(service, version);
      loadedServices.add(service);
    },
    isLoaded: (service) => loadedServices.has(service),
    storedLost() {
      loadedServices.clear();
    },
    versions(service) {
      const since = parts.now() - parts.keepMs();
      const versions = new Set<string>();
      for (const version of parts.registered(service)) versions.add(version ?? UNKNOWN_VERSION);
      const times = timesOf(service);
      for (const [version, at] of times) {
        if (at > since) versions.add(version);
        else times.delete(version);
      }
      const isStored = loadedServices.has(service) && parts.lastWithoutRowsAt() <= since;
      const isComplete = beganAt <= since || isStored;
      return { versions: [...versions].sort(), isComplete };
    },
  };
}

/**
 * The only version that can have begun a stream, if several views of its service agree on one.
 *
 * @param views what gateways know, at least one of them complete
 */
export function resolveOnlyVersion(views: readonly KnownVersions[]): string | undefined {
  if (!views.some(({ isComplete }) => isComplete)) return undefined;
  const all = new Set(views.flatMap(({ versions }) => versions));
  const [only] = all;
  return all.size === 1 && only !== UNKNOWN_VERSION ? only : undefined;
}
