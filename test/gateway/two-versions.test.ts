import { expect } from 'chai';
import {
  askForStreams,
  EVENTS,
  startVersionFleet,
  type SeenStream,
  type VersionFleet,
} from '../fixtures/version-fleet.js';

const STREAMS = 60;
/** Share of the streams that are taken up which go on while servers of their version serve. */
const CONTINUED_SHARE = 0.95;
const VERSIONS = ['v1', 'v1.2'];

function countMixed(streams: readonly SeenStream[]): number {
  return streams.filter(({ versions }) => versions.size > 1).length;
}

function resolveWholeShare(streams: readonly SeenStream[]): number {
  return streams.filter(({ isWhole }) => isWhole).length / streams.length;
}

describe('streams of a service whose servers run two software versions', () => {
  let fleet: VersionFleet;

  beforeEach(async function () {
    this.timeout(60_000);
    fleet = await startVersionFleet(3, VERSIONS);
  });

  afterEach(() => fleet.close());

  /** Engines break each stream off on its first send. */
  function breakFirstSends(): void {
    fleet.breakStreams(({ headers }) => headers['last-event-id'] === undefined);
  }

  it('go on only at the version that began them, within an answer and over several tries', async function () {
    this.timeout(60_000);
    breakFirstSends();
    const within = await askForStreams(STREAMS, () => fleet.gateways);
    // three sends of each attempt break, so that a stream takes two attempts
    fleet.breakStreams(({ headers }) => Number(headers['last-event-id'] ?? 0) + 1 < EVENTS);
    const seen = await askForStreams(STREAMS, () => fleet.gateways);
    expect(seen.filter(({ statuses }) => statuses.length > 1)).to.have.length.above(STREAMS / 2);
    expect([countMixed(within), countMixed(seen)]).to.deep.equal([0, 0]);
    expect(resolveWholeShare(within)).to.be.at.least(CONTINUED_SHARE);
    expect(resolveWholeShare(seen)).to.be.at.least(CONTINUED_SHARE);
  });
});
