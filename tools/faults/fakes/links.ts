/**
 * Links between the nodes of a run, in memory: in order, with latency, and with cuts that lose
 * messages silently, as a network partition does.
 */
import { Err, Ok, type Result } from 'ts-results-es';
import { createUnknownOutcome, createRefusal, type Failure } from '../../../src/errors/index.js';
import type { Answer, Links, LinksParts, Notice, Query } from '../../../src/links/index.js';
import type { RandomSource } from '../../../src/task/index.js';
import type { StepWatch } from '../step-watch.js';
import type { Network } from './network.js';
import type { FakeProcess } from './process.js';
import type { VirtualTime } from './virtual-time.js';

const LATE_COPY_MS = 3_000;
/** A query unanswered for this long waits in the holder's queue. */
const WAITING_AFTER_MS = 10;

/** What all links of a run share. */
export interface LinkHub {
  /** Creates the links of one process. */
  connect(process: FakeProcess, parts: LinksParts): Links;
  /** Whether notices arrive a second time, late. */
  setDuplicating(isDuplicating: boolean): void;
}

/** What the hub needs. */
export interface LinkHubParts {
  time: VirtualTime;
  network: Network;
  random: RandomSource;
  watch: StepWatch;
}

interface Endpoint {
  process: FakeProcess;
  parts: LinksParts;
  /** Peers with a link up, with when they were last heard. */
  open: Map<string, number>;
  isClosed: boolean;
}

/**
 * Creates a hub without links.
 *
 * @param hubParts the network and who watches the steps
 */
export function createLinkHub(hubParts: LinkHubParts): LinkHub {
  const { time, network, random, watch } = hubParts;
  const byAddress = new Map<string, Endpoint>();
  const byName = new Map<string, Endpoint>();
  /** When the last message from one process to another arrives; links keep their order. */
  const lastArrival = new Map<string, number>();
  let duplicating = false;

  function isUp(endpoint: Endpoint | undefined): endpoint is Endpoint {
    return endpoint !== undefined && !endpoint.isClosed && !endpoint.process.isDead();
  }

  function carry(from: Endpoint, to: Endpoint, action: () => void): void {
    const pair = `${from.process.name}>${to.process.name}`;
    from.process.perform(() => {
      const arrival = Math.max(
        time.now() + network.latency(to.process.name),
        lastArrival.get(pair) ?? 0,
      );
      lastArrival.set(pair, arrival);
      time.after(arrival - time.now(), () => {
        if (network.isCut(from.process.name, to.process.name) || !isUp(to)) return;
        to.process.perform(() => {
          if (to.open.has(from.process.name)) to.open.set(from.process.name, time.now());
          action();
        });
      });
    });
  }

  function openLink(from: Endpoint, to: Endpoint): void {
    const isNew = !from.open.has(to.process.name);
    from.open.set(to.process.name, time.now());
    if (isNew) from.parts.opened(to.process.name);
  }

  function dial(from: Endpoint, address: string): void {
    const to = byAddress.get(address);
    if (to === undefined || to === from || !isUp(to)) return;
    if (from.open.has(to.process.name) && to.open.has(from.process.name)) return;
    watch.reach('link.authenticate', from.process);
    carry(from, to, () => {
      // The dialling side hears of the link before anything that is sent on it.
      carry(to, from, () => {
        openLink(from, to);
      });
      openLink(to, from);
    });
  }

  function drop(from: Endpoint, peer: string): void {
    const to = byName.get(peer);
    from.open.delete(peer);
    if (to === undefined) return;
    carry(from, to, () => {
      to.open.delete(from.process.name);
    });
  }

  function notify(from: Endpoint, peer: string, notice: Notice): void {
    const to = byName.get(peer);
    if (!isUp(to)) return;
    dialOnDemand(from, to);
    send(from, to, notice);
  }

  /** What is sent after the dial arrives after it. */
  function dialOnDemand(from: Endpoint, to: Endpoint): void {
    if (!from.open.has(to.process.name)) dial(from, to.parts.listen);
  }

  function send(from: Endpoint, to: Endpoint, notice: Notice): void {
    watch.reach(stepOfNotice(notice), from.process);
    const sent = structuredClone(notice);
    const deliver = () => {
      to.parts.noticeReceived(from.process.name, structuredClone(sent));
    };
    carry(from, to, () => {
      deliver();
      watch.reachAfter(stepOfNotice(notice), from.process);
    });
    if (!duplicating) return;
    time.after(random.next() * LATE_COPY_MS, () => {
      if (isUp(to)) to.process.perform(deliver);
    });
  }

  function query(
    from: Endpoint,
    peer: string,
    message: Query,
    timeoutMs: number,
  ): Promise<Result<Answer, Failure>> {
    const to = byName.get(peer);
    watch.reach('link.call', from.process);
    watch.reach(stepOfQuery(message), from.process);
    if (!isUp(to)) return Promise.resolve(Err(createRefusal(describeUnreachable(peer))));
    dialOnDemand(from, to);
    const sent = structuredClone(message);
    return new Promise((resolve) => {
      let isSettled = false;
      const settle = (result: Result<Answer, Failure>) => {
        isSettled = true;
        resolve(result);
      };
      const timer = from.process.clock.after(timeoutMs, () => {
        settle(Err(createUnknownOutcome(describeUnreachable(peer))));
      });
      const answer = async () => {
        const given = await to.parts.queryReceived(from.process.name, sent);
        watch.reachAfter(stepOfQuery(message), from.process);
        carry(to, from, () => {
          timer.cancel();
          settle(Ok(structuredClone(given)));
        });
      };
      carry(from, to, () => void answer());
      if (message.kind !== 'permit.request') return;
      from.process.clock.after(WAITING_AFTER_MS, () => {
        if (!isSettled) watch.reach('permit.wait', from.process);
      });
    });
  }

  function connect(process: FakeProcess, parts: LinksParts): Links {
    const endpoint: Endpoint = { process, parts, open: new Map(), isClosed: false };
    process.onKill(() => {
      for (const other of byName.values()) {
        if (other !== endpoint && !other.isClosed) other.open.delete(process.name);
      }
    });
    return {
      listen() {
        byAddress.set(parts.listen, endpoint);
        byName.set(process.name, endpoint);
        return Promise.resolve();
      },
      address: () => parts.listen,
      dial(address) {
        dial(endpoint, address);
      },
      peers: () => [...endpoint.open.keys()],
      notify(peer, notice) {
        notify(endpoint, peer, notice);
      },
      send(peer, notice) {
        if (endpoint.open.has(peer)) notify(endpoint, peer, notice);
      },
      query: (peer, message, timeoutMs) => query(endpoint, peer, message, timeoutMs),
      drop(peer) {
        drop(endpoint, peer);
      },
      close() {
        for (const peer of [...endpoint.open.keys()]) drop(endpoint, peer);
        endpoint.isClosed = true;
        return Promise.resolve();
      },
    };
  }

  return {
    connect,
    setDuplicating(isDuplicating) {
      duplicating = isDuplicating;
    },
  };
}

function stepOfNotice(notice: Notice) {
  if (notice.kind === 'permit.release') return 'permit.release';
  if (notice.kind === 'configuration.push') return 'configuration.push';
  return notice.kind === 'heartbeat' ? 'membership.heartbeat' : undefined;
}

function stepOfQuery(query: Query) {
  if (query.kind === 'permit.request') return 'permit.ask';
  return query.kind === 'configuration.fetch' ? 'configuration.follow' : undefined;
}

function describeUnreachable(peer: string) {
  const message = 'the node did not answer';
  return { code: 'peer-unreachable', message, step: 'link.call', peer } as const;
}
