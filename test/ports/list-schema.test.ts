// Guards against answers of millions of wrong items: each was described, which took many times their memory.
import { expect } from 'chai';
import * as z from 'zod';
import { createListSchema } from '../../src/ports/list-schema.js';

describe('a list of wrong items', () => {
  it('is refused at the first', () => {
    const parsed = createListSchema(z.string()).safeParse([
      'right',
      ...Array<number>(100_000).fill(0),
    ]);
    expect(parsed.error?.issues.map(({ message }) => message)).to.deep.equal([
      'item 1 is not as expected',
    ]);
  });

  it('that is right gives its items as their schema does', () => {
    const schema = createListSchema(z.object({ key: z.string() }));
    expect(schema.parse([{ key: 'a', more: 1 }])).to.deep.equal([{ key: 'a' }]);
  });
});
