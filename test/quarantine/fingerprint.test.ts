import { expect } from 'chai';
import { createFingerprint, resolvePrefix } from '../../src/quarantine/index.js';

const content = {
  method: 'POST',
  host: 'desk.example',
  path: '/once/7?page=2',
  body: Buffer.from('a body'),
};

describe('the fingerprint of a request', () => {
  it('is equal for repeated requests', () => {
    const again = { ...content, host: 'Desk.example', body: Buffer.from('a body') };
    expect(createFingerprint(again).full()).to.equal(createFingerprint(content).full());
  });

  it('differs with the method, the host, the path, the query and the body', () => {
    const others = [
      { ...content, method: 'PUT' },
      { ...content, host: 'other.example' },
      { ...content, path: '/once/8?page=2' },
      { ...content, path: '/once/7?page=3' },
      { ...content, body: Buffer.from('a Body') },
      { ...content, body: undefined },
    ];
    const found = new Set(others.map((other) => createFingerprint(other).full()));
    expect([...found, createFingerprint(content).full()]).to.have.length(others.length + 1);
  });

  it('begins with its prefix, which does not depend on the bytes of the body', () => {
    const fingerprint = createFingerprint(content);
    const sameLength = createFingerprint({ ...content, body: Buffer.from('b body') });
    expect(resolvePrefix(fingerprint.full())).to.equal(fingerprint.prefix());
    expect(sameLength.prefix()).to.equal(fingerprint.prefix());
  });
});
