/**
 * A straight line through what was measured, with older measurements forgotten. Anchors, the points
 * assumed until something was measured, keep a constant weight: a line that is no longer fed goes
 * back to them.
 */

/** A point of the line. */
export interface Point {
  x: number;
  y: number;
}

/** A line that is learned. Times are milliseconds on one clock. */
export interface LineFit {
  /** Puts other points in place of the assumed ones. */
  setAnchors(points: readonly Point[]): void;
  observe(point: Point, now: number): void;
  /** The line's value, never negative. */
  valueAt(x: number, now: number): number;
  /** The value at 0 and the rise per unit, neither negative. */
  line(now: number): Line;
}

/** A line that never falls. */
export interface Line {
  base: number;
  slope: number;
}

/** Weight that the earlier measurements keep when a new one comes. */
const KEPT_PER_SAMPLE = 0.95;
/** Time after which measurements count half. */
const HALF_LIFE_MS = 10_000;
/** Weight of an anchor, where a fresh measurement has 1. */
const ANCHOR_WEIGHT = 0.5;
/** A measurement counts as this many times the line's value at most, so that one freak is harmless. */
const MAX_RATIO = 4;
/** Below this, in units of y, the ratio is not looked at. */
const SMALL_VALUE = 10;

interface Sums {
  weight: number;
  x: number;
  y: number;
  xx: number;
  xy: number;
}

/**
 * Creates a line.
 *
 * @param anchors points that are assumed until something was measured
 */
export function createLineFit(anchors: readonly Point[]): LineFit {
  let assumed = sumOf(anchors);
  const measured = sumOf([]);
  let agedAt = 0;

  function age(now: number): void {
    scale(measured, 0.5 ** (Math.max(0, now - agedAt) / HALF_LIFE_MS));
    agedAt = now;
  }

  function line(now: number): Line {
    age(now);
    return resolveLine(measured, assumed);
  }

  function valueAt(x: number, now: number): number {
    const { base, slope } = line(now);
    return base + slope * x;
  }

  return {
    setAnchors(points) {
      assumed = sumOf(points);
    },
    observe({ x, y }, now) {
      const most = Math.max(SMALL_VALUE, valueAt(x, now) * MAX_RATIO);
      scale(measured, KEPT_PER_SAMPLE);
      addPoint(measured, { x, y: Math.min(y, most) }, 1);
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
  // A line through the origin where the best one would begin below it.
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
