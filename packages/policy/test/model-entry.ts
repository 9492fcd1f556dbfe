import type {
  Epoch,
  Instant,
  Limits,
  Objective,
  PlacementPolicy,
  ServiceConfig,
} from '#model';
import {
  computeDrainRate,
  createBucket,
  createDrainRate,
  createPlacement,
  createRandom,
  type DrainRate,
  FairQueue,
  decideAdmission,
  type Placement,
  RunTimes,
} from '#policy';

/** Parameters of one simulation run; times in ms. */
export interface ModelSetup {
  readonly policy: PlacementPolicy;
  readonly objective: Objective;
  readonly entries: number;
  /** Run time factor of each agent; higher is slower. */
  readonly runTimeFactors: readonly number[];
  readonly slotsPerAgent: number;
  /** Offered load as a share of the total slot capacity. */
  readonly load: number;
  readonly jobs: number;
  readonly maxTasksPerJob: number;
  readonly oneWayMs: number;
  readonly seed: number;
  /** Deadline of each job after its arrival; without one, no job is refused. */
  readonly deadlineMs?: number;
  /** Relative arrival rate of each team; all teams have equal weight. */
  readonly teamRates?: readonly number[];
}

export interface ModelResult {
  /** Response time relative to that on idle targets of the fastest kind. */
  readonly meanRatio: number;
  readonly p50Ratio: number;
  readonly p99Ratio: number;
  readonly messagesPerJob: number;
  readonly completed: number;
  readonly refusals: number;
  readonly messageKinds: ReadonlyMap<string, number>;
  /** Work in ms of jobs that met their deadline, per ms of simulated time. */
  readonly goodput: number;
  /** Jobs that met their deadline, by team. */
  readonly inTime: ReadonlyMap<string, number>;
  /** Refused jobs, by team. */
  readonly jobRefusals: ReadonlyMap<string, number>;
  /** Admitted jobs that missed their deadline. */
  readonly late: number;
}

export interface ModelJob {
  readonly id: string;
  readonly team: string;
  readonly arrivedAt: number;
  readonly deadline: number;
  readonly taskWorkMs: readonly number[];
  left: number;
}

export interface ModelTask {
  readonly job: ModelJob;
  readonly workMs: number;
}

export interface ModelEntry {
  readonly epoch: Epoch;
  readonly queue: FairQueue;
  readonly tasks: Map<string, ModelTask>;
  readonly placement: Placement;
  readonly runTimes: RunTimes;
  wakeAt: number;
  running: number;
  drainRate: DrainRate;
}

export const service = 's';
const modelService: ServiceConfig = {
  name: service,
  objective: {kind: 'response-time'},
  demand: {cores: 1, memoryMb: 1, accelerators: 0},
  maxTaskMs: 10_000,
  maxPlacements: 5,
};
const modelLimits: Limits = {
  maxTasksPerJob: 170,
  maxBodyBytes: 1,
  maxDeadlineMs: 60_000,
  retentionMs: 0,
  unrepeatableRetentionMs: 0,
  maxQueuedTasks: 20_000,
};

/** Creates an entry without connected agents. */
export function createEntry(
  {policy, objective, seed}: ModelSetup,
  epoch: Epoch,
): ModelEntry {
  const runTimes = new RunTimes();
  const random = createRandom(seed + epoch);
  return {
    epoch,
    queue: new FairQueue(),
    tasks: new Map(),
    placement: createPlacement(policy, {service, objective, runTimes, random}),
    runTimes,
    wakeAt: Infinity,
    running: 0,
    drainRate: createDrainRate(0),
  };
}

/** Whether the admission of an entry would refuse the job. */
export function isRefused(
  entry: ModelEntry,
  {team, taskWorkMs, deadline}: ModelJob,
  now: Instant,
): boolean {
  if (deadline === Infinity) return false;
  const {queue, runTimes, drainRate, running} = entry;
  const decision = decideAdmission(
    {
      service: modelService,
      team: {name: team, tasksPerSecond: 1e9, burstTasks: 1e9, weight: 1},
      limits: modelLimits,
      capacities: [{kind: 'executor', slots: 8, maxConnections: 60}],
      bucket: createBucket({tasksPerSecond: 1e9, burstTasks: 1e9}, now),
      load: {
        waiting: queue.size,
        teamWaiting: queue.countWaiting(team),
        teamShare: queue.computeShare(team, 1),
        freeSlots: 0,
        startsPerSecond: computeDrainRate(drainRate),
        running,
      },
      runs: {
        lowMs: runTimes.estimateRun(service, 0.05, undefined, now),
        medianMs: runTimes.estimateRun(service, 0.5, undefined, now),
        highMs: runTimes.estimateRun(service, 0.95, undefined, now),
        meanMs: runTimes.computeMean(service),
        observations: runTimes.countObservations(service, now),
      },
    },
    {
      job: '',
      team,
      service,
      digest: '',
      unrepeatable: false,
      tasks: taskWorkMs.map(() => ({payload: null})),
    },
    deadline,
    now,
  );
  return decision.kind === 'refuse';
}
