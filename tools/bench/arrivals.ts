/**
 * The requests of a run, from a seed alone: the same seed gives the same requests at the same
 * times, whatever policy serves them. Each team has a random source of its own, so that the small
 * teams' requests stay the same whether the large team offers much or nothing.
 */
import { createSeededRandom, type RandomSource } from '../../src/task/index.js';
import { requestCost } from './capacity.js';
import type { Deployment, Experiment, Length, Workload } from './settings.js';

/** The kinds of requests; each is a request class of the configuration. */
export type ClassName = 'verdict' | 'worked-answer' | 'service-call';

/** One request to be sent. */
export interface Arrival {
  id: number;
  /** When it is sent, in milliseconds since the run began. */
  atMs: number;
  team: string;
  isLarge: boolean;
  class: ClassName;
  zone: string;
  /** Seed of its text. */
  textSeed: number;
  /** Which extract a verdict is about. */
  extract: number;
  questionWords: number;
  outputTokens: number;
}

/** How much of what is offered. */
export interface Offer {
  seed: number;
  seconds: number;
  /** Share of the fleet's capacity that all teams offer when the large one offers its own share. */
  load: number;
  /** How many times its share the large team offers; 0 for none. */
  largeFactor: number;
}

/** A team of the deployment. */
export interface BenchTeam {
  name: string;
  isLarge: boolean;
  weight: number;
  zone: string;
}

const LARGE_TEAM = 'large';
const MS_PER_SECOND = 1_000;
/** Keeps the seeds of teams apart. */
const SEED_STRIDE = 7_919;
const TEXT_SEEDS = 2 ** 31;

/**
 * The teams of a deployment: one large and many small ones, spread over the zones.
 *
 * @param deployment what is deployed
 */
export function listTeams(deployment: Deployment): BenchTeam[] {
  const { zones, teams } = deployment;
  const listed: BenchTeam[] = [
    { name: LARGE_TEAM, isLarge: true, weight: teams.largeWeight, zone: zones[0] ?? '' },
  ];
  for (let index = 1; index <= teams.smallCount; index++) {
    const zone = zones[index % zones.length] ?? '';
    listed.push({ name: `small-${index}`, isLarge: false, weight: 1, zone });
  }
  return listed;
}

/**
 * Makes the requests of a run, in the order of their times.
 *
 * @param experiment the settings
 * @param offer how much, for how long, from which seed
 */
export function createArrivals(experiment: Experiment, offer: Offer): Arrival[] {
  const teams = listTeams(experiment.deployment);
  let weights = 0;
  for (const { weight } of teams) {
    weights += weight;
  }
  const arrivals: Arrival[] = [];
  for (const [index, team] of teams.entries()) {
    const factor = team.isLarge ? offer.largeFactor : 1;
    const share = (team.weight / weights) * factor;
    if (share === 0) continue;
    const random = createSeededRandom(offer.seed * SEED_STRIDE + index);
    for (const arrival of createOfTeam(experiment, offer, team, share, random)) {
      arrivals.push(arrival);
    }
  }
  arrivals.sort((left, right) => left.atMs - right.atMs);
  for (const [id, arrival] of arrivals.entries()) {
    arrival.id = id;
  }
  return arrivals;
}

/** Poisson arrivals by thinning: drawn at the highest rate, and kept as often as the rate has it. */
function createOfTeam(
  experiment: Experiment,
  offer: Offer,
  team: BenchTeam,
  share: number,
  random: RandomSource,
): Arrival[] {
  const { workload } = experiment;
  const bursts = createBursts(workload, random);
  const rates = workload.phases.map((_, phase) => share * phaseRate(experiment, offer, phase));
  const calls = share * workload.serviceCallsPerSecond;
  const highest = (Math.max(...rates) + calls) * workload.burst.factor;
  const arrivals: Arrival[] = [];
  let at = 0;
  for (;;) {
    at += -Math.log(1 - random.next()) / highest;
    if (at >= offer.seconds) return arrivals;
    const phase = Math.floor(at / workload.phaseSeconds) % workload.phases.length;
    const generations = rates[phase] ?? 0;
    if (random.next() * highest > (generations + calls) * bursts.factorAt(at)) continue;
    const isCall = random.next() * (generations + calls) < calls;
    const isVerdict = random.next() < (workload.phases[phase]?.verdictShare ?? 0);
    const name: ClassName = isCall ? 'service-call' : isVerdict ? 'verdict' : 'worked-answer';
    arrivals.push(createArrival(workload, team, name, at, random));
  }
}

/** Generations a second of all teams in a phase, so that their work is the wanted load. */
function phaseRate(experiment: Experiment, offer: Offer, phase: number): number {
  const { deployment, workload } = experiment;
  const verdicts = workload.phases[phase]?.verdictShare ?? 0;
  const cost =
    verdicts * requestCost(experiment, 'verdict') +
    (1 - verdicts) * requestCost(experiment, 'worked-answer');
  return (offer.load * deployment.engines.count * MS_PER_SECOND) / cost;
}

/** Bursts and the time between them, with a mean factor of 1. */
function createBursts(workload: Workload, random: RandomSource) {
  const { factor, meanSeconds, share } = workload.burst;
  const quiet = Math.max(0, (1 - share * factor) / (1 - share));
  const quietSeconds = (meanSeconds * (1 - share)) / share;
  let isBurst = random.next() < share;
  let until = 0;

  return {
    factorAt(at: number): number {
      while (at >= until) {
        isBurst = !isBurst;
        const mean = isBurst ? meanSeconds : quietSeconds;
        until += -Math.log(1 - random.next()) * mean;
      }
      return isBurst ? factor : quiet;
    },
  };
}

function createArrival(
  workload: Workload,
  team: BenchTeam,
  className: ClassName,
  at: number,
  random: RandomSource,
): Arrival {
  const shape = className === 'verdict' ? workload.verdict : workload.workedAnswer;
  return {
    id: 0,
    atMs: at * MS_PER_SECOND,
    team: team.name,
    isLarge: team.isLarge,
    class: className,
    zone: team.zone,
    textSeed: Math.floor(random.next() * TEXT_SEEDS),
    extract: drawExtract(workload, random),
    questionWords: drawLength(shape.questionWords, random),
    outputTokens: drawLength(shape.outputTokens, random),
  };
}

/** Extracts are asked about as words are used: the nth as often as 1/n to some power. */
function drawExtract(workload: Workload, random: RandomSource): number {
  const { count, zipfExponent } = workload.extracts;
  let total = 0;
  for (let rank = 1; rank <= count; rank++) {
    total += rank ** -zipfExponent;
  }
  let left = random.next() * total;
  for (let rank = 1; rank <= count; rank++) {
    left -= rank ** -zipfExponent;
    if (left <= 0) return rank - 1;
  }
  return count - 1;
}

/**
 * Draws a length.
 *
 * @param length its distribution
 * @param random the source
 */
export function drawLength(length: Length, random: RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  const drawn = length.median * Math.exp(length.sigma * normal);
  return Math.round(Math.min(length.max, Math.max(length.min, drawn)));
}
