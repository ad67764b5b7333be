import { expect } from 'chai';
import { readSignals } from '../../platform/headers.js';

const OK = 200;
const TURNED_AWAY = 503;

function read(headers: Record<string, string>, status = OK) {
  return readSignals({ status, headers });
}

describe('what a server asks for in its answer', () => {
  it('is nothing where it says nothing', () => {
    const asked = read({ 'x-server-signature': 's' });
    expect(asked).to.deep.equal({
      isLeaving: false,
      pauseMs: undefined,
      limitPerS: undefined,
      unreadable: [],
    });
  });

  it('is decoded whatever the status', () => {
    for (const status of [OK, 421, 500, TURNED_AWAY]) {
      const asked = read({ 'server-leaving': '1', 'server-limit': '8.25' }, status);
      expect(asked).to.deep.include({ isLeaving: true, limitPerS: 8.25 });
    }
  });

  it('has a pause only where the server turned the request away', () => {
    expect(read({ 'retry-after': '3' }, TURNED_AWAY).pauseMs).to.equal(3_000);
    expect(read({ 'retry-after': '0.5' }, TURNED_AWAY).pauseMs).to.equal(500);
    expect(read({ 'retry-after': '3' }).pauseMs).to.equal(undefined);
  });

  for (const text of ['', '-1', 'NaN', 'Infinity', '1e309', '5, 5', 'soon', '9'.repeat(400)]) {
    it(`counts as not said where it reads "${text.slice(0, 9)}"`, () => {
      const asked = read({ 'server-limit': text, 'retry-after': text }, TURNED_AWAY);
      expect(asked).to.deep.include({ limitPerS: undefined, pauseMs: undefined });
      expect(asked.unreadable.map(({ signal }) => signal)).to.deep.equal(['pause', 'limit']);
    });
  }

  it('does not take a date for seconds, nor any text for leaving', () => {
    const date = 'Thu, 03 Dec 2026 07:00:00 GMT';
    const asked = read({ 'server-leaving': 'yes', 'retry-after': date }, TURNED_AWAY);
    expect(asked).to.deep.include({ isLeaving: false, pauseMs: undefined });
    expect(asked.unreadable.map(({ signal }) => signal)).to.deep.equal(['leaving', 'pause']);
  });
});
