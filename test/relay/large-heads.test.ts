// Guards against heads larger than the configuration allows: as many as there are connections are held before they are whole.
import { expect } from 'chai';
import { heads, sendRaw } from '../fixtures/gateway.js';
import { startRawFleet, type RawFleet } from '../fixtures/raw-fleet.js';

/** More than the configuration allows, and less than the HTTP parser takes by itself. */
const LARGE_BYTES = 20_000;

describe('a head that is larger than the configuration allows', () => {
  let fleet: RawFleet;

  beforeEach(async () => {
    fleet = await startRawFleet();
  });

  afterEach(async () => {
    await fleet.close();
  });

  it('is refused before it has come in whole', async () => {
    const lines = Object.entries(heads('large')).map(([name, value]) => `${name}: ${value}`);
    const head = ['GET /any/x HTTP/1.1', ...lines, `X-Long: ${'y'.repeat(LARGE_BYTES)}`];
    expect(await sendRaw(fleet.port, head.join('\r\n'))).to.match(/^HTTP\/1.1 431 /);
  });
});
