import { expect } from 'chai';
import type { PathCut } from '../../stand-ins/network/index.js';
import {
  makeFirstAttempts,
  startCutFleet,
  type CutFleet,
  type CutGateway,
} from '../fixtures/cut-fleet.js';

/** Share of first attempts that every gateway serves from one second after a cut, while others reach every server. */
const SERVED_SHARE = 0.95;
const SETTLE_MS = 1_000;
const ATTEMPTS = 100;
const INTERVAL_MS = 15;

describe('callers of gateways that are cut from the backend servers', () => {
  let fleet: CutFleet;

  beforeEach(async () => {
    fleet = await startCutFleet(3);
    await attemptEverywhere();
  });

  afterEach(() => fleet.close());

  /** Share of served first attempts by gateway. */
  async function attemptEverywhere(): Promise<number[]> {
    const counts = await Promise.all(
      fleet.gateways.map((gateway) => makeFirstAttempts(gateway, ATTEMPTS, INTERVAL_MS)),
    );
    return counts.map(({ asked, served }) => served / asked);
  }

  async function attemptDuring(how: PathCut, cut: readonly CutGateway[]): Promise<number[]> {
    await Promise.all(cut.map(({ paths }) => paths.cut(how)));
    // callers that go on meanwhile show the gateways their open connections
    await Promise.all(fleet.gateways.map((gateway) => makeFirstAttempts(gateway, 20, 10)));
    await wait(SETTLE_MS - 20 * 10);
    const shares = await attemptEverywhere();
    await Promise.all(cut.map(({ paths }) => paths.heal()));
    return shares;
  }

  it('are served like the others, whichever gateway it is and however it is cut', async function () {
    this.timeout(120_000);
    const scheduler = fleet.scheduler();
    const [other] = fleet.gateways.filter((gateway) => gateway !== scheduler);
    if (other === undefined) throw new Error('there is one gateway only');
    const cases = [
      ['silent', [scheduler]],
      ['silent', [other]],
      ['silent', [scheduler, other]],
      ['reset', [scheduler, other]],
      ['refused', [scheduler, other]],
    ] as const;
    const found: string[] = [];
    for (const [how, cut] of cases) {
      const shares = await attemptDuring(how, cut);
      const names = cut.map(({ fixture }) => fixture.settings.node).join(' and ');
      if (Math.min(...shares) < SERVED_SHARE) found.push(`${how}, ${names}: ${shares.join(', ')}`);
      await wait(SETTLE_MS);
    }
    expect(found).to.deep.equal([]);
    expect(listEnded()).to.deep.equal([]);
  });

  it('are served like the others where a gateway has lost the paths to some servers only', async function () {
    this.timeout(120_000);
    const scheduler = fleet.scheduler();
    const some = fleet.servers.filter((_server, index) => index % 2 === 0);
    await scheduler.paths.cut(
      'reset',
      some.map(({ address }) => address),
    );
    await wait(SETTLE_MS);
    expect(Math.min(...(await attemptEverywhere()))).to.be.at.least(SERVED_SHARE);
    expect(listEnded()).to.deep.equal([]);
  });

  /** Servers that a gateway takes for crashed under a request. */
  function listEnded(): unknown[] {
    return fleet.gateways.flatMap(({ fixture }) =>
      fixture.log.lines.filter(({ event }) => event === 'serverEnded'),
    );
  }
});

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}
