/**
 * Weighted linear regression in which the weight of measurements decays with time. Anchor points
 * keep a constant weight, so without recent measurements the line returns to them.
 */

/** A point of the line. */
export interface Point {
  x: number;
  y: number;
}

/** A fitted line. Times are milliseconds on one clock. */
export interface LineFit {
  /** Replaces the anchor points. */
  setAnchors(points: readonly Point[]): void;
  observe(point: Point, now: number): void;
  /** Value of the line at `x`; never negative. */
  valueAt(x: number, now: number): number;
  line(now: number): Line;
}

/** A line without a negative value or slope. */
export interface Line {
  /** Value at 0. */
  base: number;
  slope: number;
}

/** Factor on the weight of earlier measurements for each new one. */
const DECAY_PER_SAMPLE = 0.95;
/** Time after which the weight of measurements has halved. */
const HALF_LIFE_MS = 10_000;
/** Weight of an anchor; a new measurement has weight 1. */
const ANCHOR_WEIGHT = 0.5;
/** Measurements are capped at this multiple of the line's value, to limit outliers. */
const MAX_RATIO = 4;
/** Smallest cap, in units of y. */
const MIN_CAP = 10;

interface Sums {
  weight: number;
  x: number;
  y: number;
  xx: number;
  xy: number;
}

/**
 * Creates a fit.
 *
 * @param anchors points that determine the line without measurements
 */
export function createLineFit(anchors: readonly Point[]): LineFit {
  let anchored = sumOf(anchors);
  const measured = sumOf([]);
  let decayedAt = 0;

  function decay(now: number): void {
    scale(measured, 0.5 ** (Math.max(0, now - decayedAt) / HALF_LIFE_MS));
    decayedAt = now;
  }

  function line(now: number): Line {
    decay(now);
    return resolveLine(measured, anchored);
  }

  function valueAt(x: number, now: number): number {
    const { base, slope } = line(now);
    return base + slope * x;
  }

  return {
    setAnchors(points) {
      anchored = sumOf(points);
    },
    observe({ x, y }, now) {
      const cap = Math.max(MIN_CAP, valueAt(x, now) * MAX_RATIO);
      scale(measured, DECAY_PER_SAMPLE);
      addPoint(measured, { x, y: Math.min(y, cap) }, 1);
    },
    valueAt,
    line,
  };
}

function resolveLine(one: Sums, other: Sums): Line {
  const weight = one.weight + other.weight;
  if (weight === 0) return { base: 0, slope: 0 };
  const x = (one.x + other.x) / weight;
  const y = (one.y + other.y) / weight;
  const variance = (one.xx + other.xx) / weight - x * x;
  const covariance = (one.xy + other.xy) / weight - x * y;
  const slope = variance > 0 ? Math.max(0, covariance / variance) : 0;
  const base = y - slope * x;
  // The best fit would be negative at 0: use a line through the origin instead.
  if (base < 0) return { base: 0, slope: x > 0 ? y / x : 0 };
  return { base, slope };
}

function sumOf(points: readonly Point[]): Sums {
  const sums = { weight: 0, x: 0, y: 0, xx: 0, xy: 0 };
  for (const point of points) addPoint(sums, point, ANCHOR_WEIGHT);
  return sums;
}

function addPoint(sums: Sums, { x, y }: Point, weight: number): void {
  sums.weight += weight;
  sums.x += weight * x;
  sums.y += weight * y;
  sums.xx += weight * x * x;
  sums.xy += weight * x * y;
}

function scale(sums: Sums, factor: number): void {
  sums.weight *= factor;
  sums.x *= factor;
  sums.y *= factor;
  sums.xx *= factor;
  sums.xy *= factor;
}
