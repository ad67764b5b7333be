import { expect } from 'chai';
import { fitLine } from '../../tools/slopes/fit.js';

describe('the line through measured points', () => {
  it('is exact where the points lie on one', () => {
    const line = fitLine([1, 2, 3, 5].map((x) => ({ x, y: 7 + 3 * x })));
    expect(line.slope).to.be.closeTo(3, 1e-9);
    expect(line.intercept).to.be.closeTo(7, 1e-9);
    expect(line.slopeError).to.be.closeTo(0, 1e-9);
    expect(line.rSquared).to.be.closeTo(1, 1e-9);
  });

  it('gives the standard error of its slope', () => {
    const line = fitLine([
      { x: 0, y: 0 },
      { x: 1, y: 2 },
      { x: 2, y: 1 },
      { x: 3, y: 3 },
    ]);
    // Residuals 0.3, -0.9, 0.9 and -0.3 leave a variance of 0.9 over a spread of 5.
    expect(line.slope).to.be.closeTo(0.8, 1e-9);
    expect(line.slopeError).to.be.closeTo(Math.sqrt(0.9 / 5), 1e-9);
  });
});
