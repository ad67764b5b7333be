/**
 * The slopes that were measured: printed as they come, and kept in `out/slopes.json`.
 */
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { z } from 'zod';
import { fitLine, type Point } from './fit.js';

const FOLDER = 'out';
const FILE = `${FOLDER}/slopes.json`;
const SIGNIFICANT = 3;

const slopeSchema = z.object({
  /** Part of the measurement that gave it. */
  part: z.string(),
  name: z.string(),
  /** What `x` counts. */
  cause: z.string(),
  /** Unit of `y`. */
  unit: z.string(),
  points: z.array(z.object({ x: z.number(), y: z.number() })),
  slope: z.number(),
  intercept: z.number(),
  slopeError: z.number(),
  rSquared: z.number(),
});

/** One measured slope. */
export type Slope = z.infer<typeof slopeSchema>;

/** What is measured, before the fit. */
export interface Series {
  name: string;
  cause: string;
  unit: string;
  points: Point[];
}

/** Writes a line to standard output. */
export function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

/**
 * Fits and prints series, and puts them in the file in place of the part's former ones.
 *
 * @param part name of the part that measured them
 * @param series what was measured
 */
export function report(part: string, series: readonly Series[]): void {
  const slopes: Slope[] = [];
  for (const one of series) {
    const slope = { part, ...one, ...fitLine(one.points) };
    slopes.push(slope);
    print(slope);
  }
  mkdirSync(FOLDER, { recursive: true });
  const kept = readSlopes().filter((slope) => slope.part !== part);
  writeFileSync(FILE, `${JSON.stringify([...kept, ...slopes], undefined, 2)}\n`);
}

function readSlopes(): Slope[] {
  if (!existsSync(FILE)) return [];
  return z.array(slopeSchema).parse(JSON.parse(readFileSync(FILE, 'utf8')));
}

function print(slope: Slope): void {
  const points = slope.points.map(({ x, y }) => `${x}: ${format(y)}`).join(', ');
  const line = `${format(slope.intercept)} + ${format(slope.slope)} ± ${format(slope.slopeError)}`;
  say(`${slope.part} | ${slope.name} | ${line} ${slope.unit} per ${slope.cause}`);
  say(`    R² ${slope.rSquared.toFixed(3)}; ${points}`);
}

function format(value: number): string {
  if (value === 0) return '0';
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(SIGNIFICANT);
}
