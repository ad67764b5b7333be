import { expect } from 'chai';
import { createEventSplitter } from '../../src/relay/event-stream.js';

describe('a stream cut into events', () => {
  const text = 'id: 1\ndata: é\n\nid: 2\r\ndata: b\r\n\r\nx-version: 3\nid: 3\ndata: c\n\n';

  it('gives the same whole events however the bytes arrive', () => {
    const bytes = Buffer.from(text);
    for (let size = 1; size <= bytes.length; size += 1) {
      const cutter = createEventSplitter();
      const events = [];
      for (let start = 0; start < bytes.length; start += size) {
        events.push(...cutter.push(bytes.subarray(start, start + size)));
      }
      expect(events.map(({ id }) => id)).to.deep.equal(['1', '2', '3']);
      expect(Buffer.concat(events.map((event) => event.bytes))).to.deep.equal(bytes);
      expect(cutter.remainder()).to.have.length(0);
    }
  });

  it('keeps an event that is not complete', () => {
    const cutter = createEventSplitter();
    expect(cutter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))).to.have.length(1);
    expect(cutter.remainder().toString()).to.equal('id: 2\nda');
  });
});
