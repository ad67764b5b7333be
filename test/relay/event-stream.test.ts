import { expect } from 'chai';
import { createEventSplitter } from '../../src/relay/event-stream.js';

describe('createEventSplitter', () => {
  const text = 'id: 1\ndata: é\n\nid: 2\r\ndata: b\r\n\r\nx-version: 3\nid: 3\ndata: c\n\n';

  it('returns the same complete events for every chunk size', () => {
    const bytes = Buffer.from(text);
    for (let size = 1; size <= bytes.length; size += 1) {
      const splitter = createEventSplitter();
      const events = [];
      for (let start = 0; start < bytes.length; start += size) {
        events.push(...splitter.push(bytes.subarray(start, start + size)));
      }
      expect(events.map(({ id }) => id)).to.deep.equal(['1', '2', '3']);
      expect(Buffer.concat(events.map((event) => event.bytes))).to.deep.equal(bytes);
      expect(splitter.waitingBytes()).to.equal(0);
    }
  });

  it('keeps an incomplete event until the rest of it comes', () => {
    const splitter = createEventSplitter();
    expect(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))).to.have.length(1);
    expect(splitter.waitingBytes()).to.equal('id: 2\nda'.length);
    const [event] = splitter.push(Buffer.from('ta: b\n\n'));
    expect(event?.bytes.toString()).to.equal('id: 2\ndata: b\n\n');
  });
});
