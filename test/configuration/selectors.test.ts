import { expect } from 'chai';
import fc from 'fast-check';
import { matchesSelector, selectorSchema, type Selector } from '../../src/configuration/index.js';

const key = fc.constantFrom('size', 'zone', 'toString');
const value = fc.constantFrom('a', 'b', 'c');
const labels = fc.dictionary(key, value);
const values = fc.uniqueArray(value, { minLength: 1 });

function select(selector: object): Selector {
  return selectorSchema.parse(selector);
}

function require(key: string, operator: string, values: string[] = []): Selector {
  return select({ matchExpressions: [{ key, operator, values }] });
}

describe('selectors', () => {
  it('match everything when empty', () => {
    fc.assert(fc.property(labels, (found) => matchesSelector(select({}), found)));
  });

  it('hold exactly one of In and NotIn, and of Exists and DoesNotExist', () => {
    fc.assert(
      fc.property(labels, key, values, (found, name, wanted) => {
        const inside = matchesSelector(require(name, 'In', wanted), found);
        expect(matchesSelector(require(name, 'NotIn', wanted), found)).to.equal(!inside);
        const exists = matchesSelector(require(name, 'Exists'), found);
        expect(exists).to.equal(Object.hasOwn(found, name));
        expect(matchesSelector(require(name, 'DoesNotExist'), found)).to.equal(!exists);
      }),
    );
  });

  it('read an equality as In with one value', () => {
    fc.assert(
      fc.property(labels, key, value, (found, name, wanted) => {
        const equality = select({ matchLabels: { [name]: wanted } });
        const set = require(name, 'In', [wanted]);
        expect(matchesSelector(equality, found)).to.equal(matchesSelector(set, found));
      }),
    );
  });

  it('demand every requirement', () => {
    fc.assert(
      fc.property(labels, key, key, values, (found, first, second, wanted) => {
        const left = require(first, 'In', wanted);
        const right = require(second, 'NotIn', wanted);
        const both = select({
          matchExpressions: [...left.matchExpressions, ...right.matchExpressions],
        });
        const expected = matchesSelector(left, found) && matchesSelector(right, found);
        expect(matchesSelector(both, found)).to.equal(expected);
      }),
    );
  });
});
