import { expect } from 'chai';
import { readSignals } from '../../platform/headers.js';

const OK = 200;
const DECLINED = 503;

function read(headers: Record<string, string>, status = OK) {
  return readSignals({ status, headers });
}

describe('readSignals', () => {
  it('finds no signals in an answer without signal headers', () => {
    const signals = read({ 'x-server-signature': 's' });
    expect(signals).to.deep.equal({
      isLeaving: false,
      pauseMs: undefined,
      limitPerS: undefined,
      unreadable: [],
    });
  });

  it('reads leaving and limit for any status', () => {
    for (const status of [OK, 421, 500, DECLINED]) {
      const signals = read({ 'server-leaving': '1', 'server-limit': '8.25' }, status);
      expect(signals).to.deep.include({ isLeaving: true, limitPerS: 8.25 });
    }
  });

  it('reads a pause only from an answer that declines the request', () => {
    expect(read({ 'retry-after': '3' }, DECLINED).pauseMs).to.equal(3_000);
    expect(read({ 'retry-after': '0.5' }, DECLINED).pauseMs).to.equal(500);
    expect(read({ 'retry-after': '3' }).pauseMs).to.equal(undefined);
  });

  for (const text of ['', '-1', 'NaN', 'Infinity', '1e309', '5, 5', 'soon', '9'.repeat(400)]) {
    it(`reports "${text.slice(0, 9)}" as unreadable`, () => {
      const signals = read({ 'server-limit': text, 'retry-after': text }, DECLINED);
      expect(signals).to.deep.include({ limitPerS: undefined, pauseMs: undefined });
      expect(signals.unreadable.map(({ signal }) => signal)).to.deep.equal(['pause', 'limit']);
    });
  }

  it('does not accept a date as seconds or other text for leaving', () => {
    const date = 'Thu, 03 Dec 2026 07:00:00 GMT';
    const signals = read({ 'server-leaving': 'yes', 'retry-after': date }, DECLINED);
    expect(signals).to.deep.include({ isLeaving: false, pauseMs: undefined });
    expect(signals.unreadable.map(({ signal }) => signal)).to.deep.equal(['leaving', 'pause']);
  });
});
