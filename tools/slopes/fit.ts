/**
 * Straight lines through measured points, by least squares.
 */

/** One measurement. */
export interface Point {
  x: number;
  y: number;
}

/** A line `y = intercept + slope * x`, and how well it fits. */
export interface Line {
  slope: number;
  intercept: number;
  /** Standard error of the slope. */
  slopeError: number;
  /** Share of the variance that the line explains. */
  rSquared: number;
}

/**
 * Fits a line.
 *
 * @param points at least three points that differ in `x`
 */
export function fitLine(points: readonly Point[]): Line {
  const count = points.length;
  let sumX = 0;
  let sumY = 0;
  for (const { x, y } of points) {
    sumX += x;
    sumY += y;
  }
  const meanX = sumX / count;
  const meanY = sumY / count;
  let spreadX = 0;
  let spreadY = 0;
  let product = 0;
  for (const { x, y } of points) {
    spreadX += (x - meanX) ** 2;
    spreadY += (y - meanY) ** 2;
    product += (x - meanX) * (y - meanY);
  }
  const slope = product / spreadX;
  const intercept = meanY - slope * meanX;
  let residual = 0;
  for (const { x, y } of points) {
    residual += (y - intercept - slope * x) ** 2;
  }
  const slopeError = Math.sqrt(residual / Math.max(1, count - 2) / spreadX);
  const rSquared = spreadY === 0 ? 1 : 1 - residual / spreadY;
  return { slope, intercept, slopeError, rSquared };
}
