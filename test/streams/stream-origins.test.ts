import { expect } from 'chai';
import {
  createOriginRecords,
  createReplicas,
  createStreamOrigins,
  createVersionHistory,
  MAX_RECORDS,
  resolveOnlyVersion,
  type OriginMessage,
} from '../../src/streams/index.js';
import { createSilentLog } from '../../src/events/index.js';
import { createGatewayMetrics } from '../../src/metrics/index.js';
import { createSeededRandom } from '../../src/task/index.js';
import { createFakeClock, settle } from '../fixtures/fake-clock.js';
import { createLateClock } from '../fixtures/late-clock.js';
import { createOriginFleet, KEEP_MS, SERVICE, type OriginFleet } from '../fixtures/origin-fleet.js';

const BOTH = ['v1', 'v1.2'];
const ORIGIN = { service: SERVICE, version: 'v1' };
/** Share of streams whose origin is known after the gateway that began them, or a third of all, was lost. */
const KNOWN_SHARE = 0.9;

describe('where a stream began', () => {
  it('is known at every gateway, also once the one that began it is gone', async () => {
    const fleet = createOriginFleet(7, BOTH);
    const began = fleet.at(0);
    began.streams.record('a', ORIGIN, KEEP_MS);
    fleet.advance(5);
    fleet.kill(began);
    for (const gateway of fleet.gateways.slice(1)) {
      expect(await fleet.find(gateway, 'a')).to.include({ kind: 'known' });
    }
  });

  it('is known for nine of ten streams after 30 of 100 gateways were lost at once', async () => {
    const fleet = createOriginFleet(100, BOTH);
    const random = createSeededRandom(7);
    const attempts = Array.from({ length: 300 }, (_, index) => `a${index}`);
    const lost = fleet.gateways.slice(0, 30);
    // all were begun at gateways that are lost
    for (const [index, attempt] of attempts.entries())
      fleet.at(index % lost.length).streams.record(attempt, ORIGIN, KEEP_MS);
    fleet.advance(5);
    for (const gateway of lost) fleet.kill(gateway);
    let known = 0;
    for (const attempt of attempts) {
      const gateway = fleet.at(30 + Math.floor(random.next() * 70));
      if ((await fleet.find(gateway, attempt)).kind === 'known') known += 1;
    }
    expect(known / attempts.length).to.be.at.least(KNOWN_SHARE);
  });

  it('is known while the gateways start again one after another', async () => {
    const fleet = createOriginFleet(7, BOTH);
    fleet.at(0).streams.record('a', ORIGIN, KEEP_MS);
    fleet.advance(5);
    for (const gateway of fleet.gateways) {
      fleet.kill(gateway);
      fleet.restart(gateway);
      // a caller that continues the stream has it recorded anew
      expect(await fleet.find(gateway, 'a')).to.include({ kind: 'known' });
      gateway.streams.record('a', ORIGIN, KEEP_MS);
      fleet.advance(5);
    }
  });

  it('is not guessed by a gateway that no peer answers', async () => {
    const fleet = createOriginFleet(3, ['v1']);
    fleet.cut(fleet.at(0));
    expect(await fleet.find(fleet.at(0), 'a')).to.deep.equal({
      kind: 'unknown',
      reason: 'no-answer',
    });
    fleet.advance(2_000);
    expect(await fleet.find(fleet.at(0), 'a')).to.include({ kind: 'unknown' });
    expect(await fleet.find(fleet.at(1), 'a')).to.include({ source: 'only-version' });
  });

  it('is not inferred until another version has been gone for as long as its streams may go on', async () => {
    const fleet = createOriginFleet(3, BOTH);
    fleet.register(['v1']);
    for (const gateway of fleet.gateways) {
      fleet.kill(gateway);
      fleet.restart(gateway);
    }
    fleet.advance(KEEP_MS - 1_000);
    expect(await fleet.find(fleet.at(0), 'a')).to.include({ kind: 'unknown' });
    fleet.advance(2_000);
    expect(await fleet.find(fleet.at(0), 'a')).to.include({ source: 'only-version' });
  });

  it('is never wrong, whatever comes and goes', async function () {
    this.timeout(60_000);
    for (let seed = 1; seed <= HISTORIES; seed += 1) {
      expect(await playHistory(seed), `seed ${seed}`).to.deep.equal([]);
    }
  });
});

const HISTORIES = 300;
const STEPS = 120;
const STEP_MS = 250;

/** Draws streams, continuations, releases, kills, restarts and cuts; lists the origins that were wrong. */
async function playHistory(seed: number): Promise<string[]> {
  const random = createSeededRandom(seed);
  const fleet = createOriginFleet(2 + Math.floor(random.next() * 8), ['v1']);
  const truth = new Map<string, string>();
  const wrong: string[] = [];
  let versions = ['v1'];
  let newest = 1;
  const pick = <Item>(items: readonly Item[]) => items[Math.floor(random.next() * items.length)];

  function begin(): void {
    const gateway = pick(fleet.gateways.filter(({ isAlive }) => isAlive));
    const version = gateway === undefined ? undefined : pick(gateway.registered);
    if (gateway === undefined || version === undefined) return;
    const attempt = `a${truth.size}`;
    truth.set(attempt, version);
    gateway.streams.record(attempt, { service: SERVICE, version }, KEEP_MS);
    // a gateway may be lost right after it has sent the records
    if (random.next() < 0.1) fleet.kill(gateway);
  }

  function release(): void {
    if (versions.length > 1) versions = versions.slice(1);
    else versions = [...versions, `v${(newest += 1)}`];
    fleet.register(versions);
  }

  function disturb(): void {
    const gateway = pick(fleet.gateways);
    if (gateway === undefined) return;
    const chance = random.next();
    if (chance < 0.3) fleet.kill(gateway);
    else if (chance < 0.6) fleet.restart(gateway);
    else if (chance < 0.75) fleet.cut(gateway);
    else if (chance < 0.9) fleet.heal(gateway);
    else if (chance < 0.95) disturbTable(fleet, random);
    else for (const one of fleet.gateways) fleet.kill(one);
  }

  for (let step = 0; step < STEPS; step += 1) {
    begin();
    if (random.next() < 0.1) release();
    if (random.next() < 0.3) disturb();
    await fleet.settle(Math.ceil(STEP_MS * random.next()));
    const [attempt, version] = pick([...truth].slice(-20)) ?? [];
    const gateway = pick(fleet.gateways.filter(({ isAlive }) => isAlive));
    if (attempt === undefined || gateway === undefined) continue;
    const named = random.next() < 0.9 ? attempt : undefined;
    const lookup = await fleet.find(gateway, named);
    if (lookup.kind === 'known' && lookup.origin.version !== version)
      wrong.push(`${attempt} began at ${version}, taken for ${lookup.origin.version}`);
  }
  return wrong;
}

/** The table is away for a while, loses answers, carries transactions out late, or comes back from a copy. */
function disturbTable(fleet: OriginFleet, random: { next(): number }): void {
  const chance = random.next();
  if (chance < 0.3) fleet.table.down = !fleet.table.down;
  else if (chance < 0.5) fleet.table.disturb('unknown-without-effect', 'unknown-after-effect');
  else if (chance < 0.7) fleet.table.disturb('late', 'late');
  else if (chance < 0.85) fleet.table.landLate();
  else fleet.restore();
}

describe('a query about where a stream began', () => {
  /** Resolves once all that can be decided now is decided. */
  function settled(): Promise<string> {
    return new Promise((resolve) => {
      setImmediate(resolve, 'unanswered');
    });
  }

  function start() {
    const sent: OriginMessage[] = [];
    const streams = createStreamOrigins({
      clock: createFakeClock().clock,
      log: createSilentLog(),
      metrics: createGatewayMetrics(),
      replicas: createReplicas('gateway-0', () => ['gateway-1']),
      records: createOriginRecords(),
      stored: { recorded: () => undefined, load: () => Promise.resolve(true) },
      history: { versions: () => ({ versions: BOTH, isComplete: true }) },
      isCurrentAlone: () => false,
      send: (_node, message) => sent.push(message) > 0,
    });
    return { streams, sent };
  }

  it('is not answered by a late response to the process that ran before under the same name', async () => {
    const before = start();
    void before.streams.find({ requestId: 'r1', attempt: 'a', services: [SERVICE] });
    const [query] = before.sent;
    if (query?.kind !== 'origin.query') throw new Error('a query was sent');
    const { streams } = start();
    const found = streams.find({ requestId: 'r2', attempt: 'b', services: [SERVICE] });
    const response = { kind: 'origin.response', versions: [], isComplete: false } as const;
    streams.received('gateway-1', { ...response, id: query.id, origin: ORIGIN });
    expect(await Promise.race([found, settled()])).to.equal('unanswered');
  });
});

describe('records of where streams began', () => {
  it('hold the origin of an attempt until it expires', () => {
    const records = createOriginRecords();
    records.add('a', ORIGIN, 1_000, 0);
    records.add('a', ORIGIN, 2_000, 500);
    expect(records.find('a', 2_400)).to.deep.equal(ORIGIN);
    expect(records.find('a', 2_500)).to.equal(undefined);
  });

  it('tell nothing while they contradict each other', () => {
    const records = createOriginRecords();
    records.add('a', ORIGIN, 1_000, 0);
    records.add('a', { service: SERVICE, version: 'v2' }, 2_000, 500);
    records.add('a', ORIGIN, 1_000, 600);
    expect(records.find('a', 2_400)).to.equal(undefined);
    expect(records.isContradicted('a', 2_400)).to.equal(true);
    records.add('a', ORIGIN, 1_000, 2_500);
    expect(records.find('a', 2_500)).to.deep.equal(ORIGIN);
  });

  it('are bounded', () => {
    const records = createOriginRecords();
    for (let index = 0; index < MAX_RECORDS + 100; index += 1)
      records.add(`a${index}`, ORIGIN, KEEP_MS, index);
    expect(records.size()).to.equal(MAX_RECORDS);
    expect(records.find('a0', MAX_RECORDS)).to.equal(undefined);
  });
});

describe('replicas of where streams began', () => {
  it('are among the gateways that are asked, wherever a stream began and is continued', () => {
    const names = Array.from({ length: 20 }, (_, index) => `gateway-${index}`);
    const replicas = names.map((self) => {
      const others = names.filter((name) => name !== self);
      return createReplicas(self, () => others);
    });
    for (let index = 0; index < 100; index += 1) {
      const recorded = replicas[index % names.length]?.toRecord(`a${index}`) ?? [];
      const self = names[(index + 7) % names.length];
      const asked = replicas[(index + 7) % names.length]?.toQuery(`a${index}`) ?? [];
      expect(recorded).to.have.length.within(3, 3);
      for (const name of recorded) expect([...asked, self]).to.include(name);
    }
  });

  it('need links to a bounded number of gateways', () => {
    const names = Array.from({ length: 409 }, (_, index) => `gateway-${index}`);
    const replicas = createReplicas('self', () => names);
    const used = new Set<string>();
    for (let index = 0; index < 5_000; index += 1)
      for (const name of replicas.toQuery(`a${index}`)) used.add(name);
    expect(used.size).to.be.at.most(64);
  });
});

describe('the only version that can have begun a stream', () => {
  const complete = { versions: ['v1'], isComplete: true };

  it('needs a complete view, and others that agree', () => {
    expect(resolveOnlyVersion([complete])).to.equal('v1');
    expect(resolveOnlyVersion([{ ...complete, isComplete: false }])).to.equal(undefined);
    expect(resolveOnlyVersion([complete, { versions: ['v2'], isComplete: false }])).to.equal(
      undefined,
    );
  });

  it('is unknown while a server is known without its version', () => {
    const registered = ['v1', undefined];
    const history = createVersionHistory({
      now: () => 0,
      registered: () => registered,
      keepMs: () => KEEP_MS,
      lastWithoutRowsAt: () => Number.NEGATIVE_INFINITY,
    });
    history.loaded(SERVICE, ['v1']);
    expect(resolveOnlyVersion([history.versions(SERVICE)])).to.equal(undefined);
    registered.pop();
    expect(resolveOnlyVersion([history.versions(SERVICE)])).to.equal('v1');
  });
});

describe('a read of where a stream began', () => {
  it('is not given up while its answer waits in a process that stood still', async () => {
    const { clock, runAt } = createLateClock();
    const records = createOriginRecords();
    let answer = (): void => undefined;
    const streams = createStreamOrigins({
      clock,
      log: createSilentLog(),
      metrics: createGatewayMetrics(),
      replicas: createReplicas('alone', () => []),
      records,
      stored: {
        recorded: () => undefined,
        load: () =>
          new Promise((resolve) => {
            answer = () => {
              records.add('a', ORIGIN, KEEP_MS, clock.now());
              resolve(true);
            };
          }),
      },
      history: { versions: () => ({ versions: BOTH, isComplete: true }) },
      isCurrentAlone: () => true,
      send: () => true,
    });
    const lookup = streams.find({ requestId: undefined, attempt: 'a', services: [SERVICE] });
    await settle();
    runAt(4_000);
    await settle();
    answer();
    expect(await lookup).to.deep.equal({ kind: 'known', origin: ORIGIN, source: 'stored' });
  });
});
