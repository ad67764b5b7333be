// Guards against streams that nobody continues after all gateways were lost at once: where a stream began must be known
// then as well, while servers of several software versions run.
import { expect } from 'chai';
import { BUCKETS, MAX_SEGMENTS_PER_BUCKET } from '../../src/streams/index.js';
import { createOriginFleet, KEEP_MS, SERVICE, type OriginFleet } from '../fixtures/origin-fleet.js';

const BOTH = ['v1', 'v1.2'];
/** Share of streams that go on after all gateways were lost. */
const KNOWN_SHARE = 0.9;
/** Streams that began within this time before may be lost with all gateways, in ms. */
const EXCEPTED_MS = 500;
/** Writes a second that the platform takes from all gateways of a small fleet. */
const WRITES_PER_S = 400;
/** Replicas of a bucket that may each read it. */
const READERS = 4;

/** Begins streams of both versions in turn, some each 100 ms; returns the version of each attempt. */
async function begin(fleet: OriginFleet, count: number, each = 10): Promise<Map<string, string>> {
  const begun = new Map<string, string>();
  while (begun.size < count) {
    for (let index = 0; index < each; index += 1) {
      const version = BOTH[begun.size % BOTH.length] ?? '';
      const attempt = `a${begun.size}`;
      fleet.at(begun.size).streams.record(attempt, { service: SERVICE, version }, KEEP_MS);
      begun.set(attempt, version);
    }
    await fleet.settle(100);
  }
  return begun;
}

function loseAll(fleet: OriginFleet): void {
  for (const gateway of fleet.gateways) fleet.kill(gateway);
  for (const gateway of fleet.gateways) fleet.restart(gateway);
}

/** Looks streams up at gateways in turn. */
async function count(fleet: OriginFleet, begun: ReadonlyMap<string, string>) {
  const counted = { known: 0, wrong: 0 };
  let index = 0;
  for (const [attempt, version] of begun) {
    const lookup = await fleet.find(fleet.at((index += 1)), attempt);
    if (lookup.kind !== 'known') continue;
    counted.known += 1;
    if (lookup.origin.version !== version) counted.wrong += 1;
  }
  return counted;
}

function end(fleet: OriginFleet): void {
  for (const gateway of fleet.gateways) fleet.kill(gateway);
}

describe('stored records of where streams began', () => {
  for (const size of [1, 9, 100]) {
    it(`tell it for nine of ten streams after all of ${size} gateways were lost at once`, async () => {
      const fleet = createOriginFleet(size, BOTH);
      await fleet.settle(1_000);
      const begun = await begin(fleet, 300);
      await fleet.settle(EXCEPTED_MS);
      loseAll(fleet);
      const { known, wrong } = await count(fleet, begun);
      expect(wrong).to.equal(0);
      expect(known / begun.size).to.be.at.least(KNOWN_SHARE);
      end(fleet);
    });
  }

  it('are of the streams that began before a second version came, too', async () => {
    const fleet = createOriginFleet(3, ['v1']);
    await fleet.settle(1_000);
    fleet.at(0).streams.record('early', { service: SERVICE, version: 'v1' }, KEEP_MS);
    await fleet.settle(1_000);
    fleet.register(BOTH);
    await fleet.settle(1_000);
    loseAll(fleet);
    expect(await fleet.find(fleet.at(1), 'early')).to.deep.include({
      kind: 'known',
      origin: { service: SERVICE, version: 'v1' },
    });
    end(fleet);
  });

  it('cost no call while one version serves', async () => {
    const fleet = createOriginFleet(3, ['v1']);
    for (let index = 0; index < 100; index += 1) {
      fleet.at(index).streams.record(`a${index}`, { service: SERVICE, version: 'v1' }, KEEP_MS);
      await fleet.settle(50);
    }
    expect(await fleet.find(fleet.at(1), 'b')).to.include({ source: 'only-version' });
    expect([fleet.table.reads, fleet.table.writes, fleet.table.rows.size]).to.deep.equal([0, 0, 0]);
    end(fleet);
  });

  for (const size of [9, 100]) {
    it(`cost well under a tenth of the platform's writes with ${size} gateways`, async () => {
      const fleet = createOriginFleet(size, BOTH);
      await fleet.settle(2_000);
      const before = fleet.table.writes;
      await begin(fleet, 2_000, 20);
      const perS = (fleet.table.writes - before) / 10;
      expect(perS).to.be.below(WRITES_PER_S / 10);
      end(fleet);
    });
  }

  it('are read once by the replicas of each bucket when 100 gateways start and 1,000 streams come back', async () => {
    const fleet = createOriginFleet(100, BOTH);
    await fleet.settle(1_000);
    const begun = await begin(fleet, 1_000, 100);
    await fleet.settle(EXCEPTED_MS);
    loseAll(fleet);
    const before = fleet.table.reads;
    let index = 0;
    const lookups: Promise<unknown>[] = [];
    for (const attempt of begun.keys()) {
      const stream = { requestId: undefined, attempt, services: [SERVICE] };
      lookups.push(fleet.at((index += 1)).streams.find(stream));
    }
    await fleet.settle(1_000);
    await Promise.all(lookups);
    expect(fleet.table.reads - before).to.be.at.most(READERS * BUCKETS);
    end(fleet);
  });

  it('are stored once the platform is back', async () => {
    const fleet = createOriginFleet(3, BOTH);
    await fleet.settle(1_000);
    fleet.table.down = true;
    const begun = await begin(fleet, 100);
    await fleet.settle(6_000);
    fleet.table.down = false;
    await fleet.settle(6_000);
    loseAll(fleet);
    expect(await count(fleet, begun)).to.deep.equal({ known: begun.size, wrong: 0 });
    end(fleet);
  });

  it('are stored again after the platform came back from a copy', async () => {
    const fleet = createOriginFleet(3, BOTH);
    await fleet.settle(1_000);
    const begun = await begin(fleet, 100);
    await fleet.settle(EXCEPTED_MS);
    fleet.restore();
    await fleet.settle(2_000);
    loseAll(fleet);
    expect(await count(fleet, begun)).to.deep.equal({ known: begun.size, wrong: 0 });
    end(fleet);
  });

  it('are stored by the next replica when the first of a bucket is gone', async () => {
    const fleet = createOriginFleet(5, BOTH);
    await fleet.settle(1_000);
    fleet.table.down = true;
    const begun = await begin(fleet, 100);
    // nothing is stored yet; two are lost for good, with what they alone would have stored
    for (const gateway of fleet.gateways.slice(0, 2)) fleet.kill(gateway);
    fleet.table.down = false;
    await fleet.settle(6_000);
    loseAll(fleet);
    expect(await count(fleet, begun)).to.deep.equal({ known: begun.size, wrong: 0 });
    end(fleet);
  });

  // a stream that began at one of two incarnations of a server must not go on at a guess after all gateways were lost
  it('that contradict each other tell that nobody knows where a stream began', async () => {
    const fleet = createOriginFleet(5, BOTH);
    await fleet.settle(1_000);
    const attempts = Array.from({ length: 20 }, (_, index) => `a${index}`);
    for (const version of BOTH) {
      for (const attempt of attempts)
        fleet.at(0).streams.record(attempt, { service: SERVICE, version }, KEEP_MS);
      await fleet.settle(1_000);
    }
    for (const gateway of fleet.gateways)
      expect(await fleet.find(gateway, 'a0')).to.include({ reason: 'not-recorded' });
    loseAll(fleet);
    for (const [index, attempt] of attempts.entries()) {
      const lookup = await fleet.find(fleet.at(index), attempt);
      expect(lookup).to.include({ kind: 'unknown' });
    }
    end(fleet);
  });

  // a stream that began while the gateways stopped one right after another was stored by none of them
  it('are stored by each gateway that stops, as the first of a bucket may have stopped before', async () => {
    const fleet = createOriginFleet(3, BOTH);
    await fleet.settle(1_000);
    const last = fleet.at(2);
    const late = Array.from({ length: 20 }, (_, index) => `late-${index}`);
    for (const attempt of late)
      last.streams.record(attempt, { service: SERVICE, version: 'v1' }, KEEP_MS);
    fleet.advance(5);
    await last.stored.flush();
    loseAll(fleet);
    const begun = new Map(late.map((attempt) => [attempt, 'v1']));
    expect(await count(fleet, begun)).to.deep.equal({ known: late.length, wrong: 0 });
    end(fleet);
  });

  // what came before the next look at the versions was left out
  it('are stored by a gateway that stops right after a second version came', async () => {
    const fleet = createOriginFleet(3, ['v1']);
    await fleet.settle(1_000);
    fleet.register(BOTH);
    const last = fleet.at(2);
    const late = Array.from({ length: 20 }, (_, index) => `late-${index}`);
    for (const attempt of late)
      last.streams.record(attempt, { service: SERVICE, version: 'v1.2' }, KEEP_MS);
    fleet.advance(5);
    await last.stored.flush();
    loseAll(fleet);
    const begun = new Map(late.map((attempt) => [attempt, 'v1.2']));
    expect(await count(fleet, begun)).to.deep.equal({ known: late.length, wrong: 0 });
    end(fleet);
  });

  it('are removed once their streams are over, also by gateways that did not write them', async () => {
    const fleet = createOriginFleet(3, BOTH);
    await fleet.settle(1_000);
    await begin(fleet, 200);
    await fleet.settle(1_000);
    expect(fleet.table.rows.size).to.be.above(0);
    loseAll(fleet);
    await fleet.settle(1_000);
    await fleet.settle(KEEP_MS + 2_000);
    expect(fleet.table.rows.size).to.equal(0);
    end(fleet);
  });

  it('do not make a gateway refuse for good while they cannot be read', async () => {
    const fleet = createOriginFleet(3, BOTH);
    await fleet.settle(1_000);
    const begun = await begin(fleet, 10);
    await fleet.settle(EXCEPTED_MS);
    fleet.table.down = true;
    loseAll(fleet);
    const [attempt] = begun.keys();
    expect(await fleet.find(fleet.at(0), attempt)).to.deep.equal({
      kind: 'unknown',
      reason: 'no-answer',
    });
    fleet.table.down = false;
    await fleet.settle(500);
    expect(await fleet.find(fleet.at(0), attempt)).to.include({ kind: 'known' });
    end(fleet);
  });

  it('are bounded: of too many in a bucket, some are removed', async () => {
    const fleet = createOriginFleet(1, BOTH);
    for (let index = 0; index < 450; index += 1) {
      const key = `stream-origins/03/${index}`;
      const origins = [{ service: SERVICE, version: 'v1', attempts: [`a${index}`] }];
      fleet.table.rows.set(key, { key, revision: 1, value: { keepMs: KEEP_MS, origins } });
    }
    await fleet.settle(5_000);
    expect(fleet.table.rows.size).to.equal(MAX_SEGMENTS_PER_BUCKET);
    end(fleet);
  });

  it('that cannot be read are passed over and removed', async () => {
    const fleet = createOriginFleet(1, BOTH);
    const key = 'stream-origins/03/other';
    fleet.table.rows.set(key, { key, revision: 1, value: { origins: 'none' } });
    await fleet.settle(2_000);
    expect(fleet.table.rows.has(key)).to.equal(false);
    end(fleet);
  });
});
