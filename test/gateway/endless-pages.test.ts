// Guards against a table that always has more pages: it was read without an end, and all its rows were kept.
import { expect } from 'chai';
import { Ok } from 'ts-results-es';
import { createStore } from '../../platform/store.js';

const MEBIBYTE = 1024 * 1024;

describe('a table whose pages never end', () => {
  for (const [name, rows] of [
    ['without rows', []],
    ['with the same rows', [{ key: 'a', ver: 1 }]],
  ] as const) {
    it(`${name} is not read on`, async () => {
      let calls = 0;
      const store = createStore(
        () => 'store',
        () => {
          calls += 1;
          const body = JSON.stringify({ rows, ver: 1, hasMore: calls < 10 });
          return Promise.resolve(Ok({ status: 200, headers: {}, body }));
        },
        () => undefined,
      );
      const never = new AbortController().signal;
      const read = await store.feed('table', (row) => row).readAll(never);
      expect(read.isErr() && read.error).to.deep.equal({
        kind: 'unavailable',
        reason: 'its pages do not advance',
      });
    });
  }

  it('but for new rows is given up once it is too large', async () => {
    const value = Buffer.alloc(MEBIBYTE, 'x').toString('base64');
    let calls = 0;
    const store = createStore(
      () => 'store',
      () => {
        calls += 1;
        const rows = [{ key: String(1_000 + calls), ver: 1, value }];
        const body = JSON.stringify({ rows, ver: 1, hasMore: calls < 200 });
        return Promise.resolve(Ok({ status: 200, headers: {}, body }));
      },
      () => undefined,
    );
    const never = new AbortController().signal;
    const read = await store.feed('table', (row) => row).readAll(never);
    expect(read.isErr() && read.error.reason).to.equal('it is larger than 67108864 bytes');
  });
});
