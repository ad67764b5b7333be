// Guards against bodies that come in the smallest pieces: a process kept many times their bytes.
import { expect } from 'chai';
import { createBoundedBody } from '../../src/ports/bounded-body.js';

const MEBIBYTE = 1024 * 1024;

describe('a body in the smallest pieces', () => {
  it('takes about as much memory as its bytes', () => {
    const body = createBoundedBody(2 * MEBIBYTE);
    const source = Buffer.alloc(MEBIBYTE, 'x');
    const before = process.memoryUsage().heapUsed;
    for (let index = 0; index < source.length; index += 1) {
      body.add(source.subarray(index, index + 1));
    }
    expect(process.memoryUsage().heapUsed - before).to.be.below(50 * MEBIBYTE);
    expect(body.bytes().equals(source)).to.equal(true);
  });
});
