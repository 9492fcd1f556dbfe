import {deriveJobId, failUnreachable} from '#model';
import {Random} from './random.js';

/** When jobs are submitted. */
export type Arrivals =
  | {readonly kind: 'poisson'; readonly jobsPerSecond: number}
  | {
      readonly kind: 'bursts';
      readonly jobsPerBurst: number;
      readonly intervalMs: number;
    }
  /** Closed loop: each caller submits its next job when its previous one has an outcome. */
  | {readonly kind: 'closed'; readonly callers: number};

export interface LoadOptions {
  readonly seed: number;
  readonly jobs: number;
  readonly arrivals: Arrivals;
  readonly services: readonly string[];
  readonly teams: readonly string[];
  readonly minTasks: number;
  readonly maxTasks: number;
  readonly minTaskMs: number;
  readonly maxTaskMs: number;
  readonly deadlineMs: number;
  /** Fraction of jobs that must not be repeated. */
  readonly unrepeatableShare: number;
  /** Fraction of jobs in which one task fails. */
  readonly failingShare: number;
  /** Declared run times are too long or too short by up to this factor. */
  readonly declaredErrorFactor: number;
}

export interface PlannedTask {
  readonly payload: {
    readonly sleepMs: number;
    readonly echo: string;
    readonly fail?: true;
    /** Cores and memory that the task uses at a worker; unset, the demand of its service. */
    readonly cores?: number;
    readonly memoryMb?: number;
  };
  readonly expectedMs: number;
}

export interface PlannedJob {
  /** Submission time in an open loop, in ms from the start of the load. */
  readonly atMs: number;
  readonly key: string;
  readonly job: string;
  readonly team: string;
  readonly service: string;
  readonly deadlineMs: number;
  readonly unrepeatable: boolean;
  readonly tasks: readonly PlannedTask[];
}

/** Plans every job of a load deterministically from its options. */
export function planLoad(options: LoadOptions): readonly PlannedJob[] {
  const random = new Random(options.seed);
  const jobs: PlannedJob[] = [];
  let atMs = 0;
  for (let i = 0; i < options.jobs; i++) {
    atMs += pickInterarrivalMs(options.arrivals, i, random);
    jobs.push(planJob(options, `load-${options.seed}-${i}`, atMs, random));
  }
  return jobs;
}

function pickInterarrivalMs(
  arrivals: Arrivals,
  i: number,
  random: Random,
): number {
  switch (arrivals.kind) {
    case 'poisson':
      return random.pickExponential(1000 / arrivals.jobsPerSecond);
    case 'bursts':
      return i > 0 && i % arrivals.jobsPerBurst === 0 ? arrivals.intervalMs : 0;
    case 'closed':
      return 0;
    default:
      return failUnreachable(arrivals);
  }
}

function planJob(
  options: LoadOptions,
  key: string,
  atMs: number,
  random: Random,
): PlannedJob {
  const team = random.pickOne(options.teams);
  const count = random.pickInt(options.minTasks, options.maxTasks);
  const failingIndex = random.pickBoolean(options.failingShare)
    ? random.pickInt(0, count - 1)
    : -1;
  const tasks = Array.from({length: count}, (_, i) =>
    planTask(options, buildEcho(key, i), i === failingIndex, random),
  );
  return {
    atMs,
    key,
    job: deriveJobId(team, key),
    team,
    service: random.pickOne(options.services),
    deadlineMs: options.deadlineMs,
    unrepeatable: random.pickBoolean(options.unrepeatableShare),
    tasks,
  };
}

function planTask(
  options: LoadOptions,
  echo: string,
  fails: boolean,
  random: Random,
): PlannedTask {
  const {minTaskMs, maxTaskMs, declaredErrorFactor: factor} = options;
  const sleepMs = Math.round(random.pickLogUniform(minTaskMs, maxTaskMs));
  const expectedMs = sleepMs * random.pickLogUniform(1 / factor, factor);
  return {
    payload: {sleepMs, echo, ...(fails && {fail: true as const})},
    expectedMs: Math.max(1, Math.round(expectedMs)),
  };
}

/** Returns the value that the result of a task must echo. */
export function buildEcho(key: string, task: number): string {
  return `${key}/${task}`;
}
