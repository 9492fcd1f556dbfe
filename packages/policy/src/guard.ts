import {failUnreachable, type Instant, type ResourceDemand} from '#model';

/** One running task as its agent's guard sees it. */
export interface GuardedTask {
  readonly demand: ResourceDemand;
  /** The task is stopped from then on, whatever it uses. */
  readonly leaseDeadline: Instant;
  /** The latest usage report; unset before the first. */
  readonly usage?: UsageReport;
  /** Since when, by report time, the task has used more than its demand. */
  readonly overSince?: Instant;
  readonly canCheckpoint: boolean;
  readonly throttled: boolean;
}

/** What a worker reports of a task, some time after it was measured. */
export interface UsageReport {
  /** When the usage was measured, on this process's clock. */
  readonly measuredAt: Instant;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

export interface GuardLimits {
  /** Memory above the demand by this factor is overuse. */
  readonly memoryStopFactor: number;
  /** Cores above the demand by this factor are overuse. */
  readonly coreThrottleFactor: number;
  /** Overuse must last this long before it has consequences, in ms. */
  readonly overuseGraceMs: number;
  /** Core overuse that goes on for this long although throttled ends the task, in ms. */
  readonly throttledGraceMs: number;
  /** A report older than this says nothing, in ms. */
  readonly maxReportAgeMs: number;
  /** A task that can is checkpointed this long before its lease ends, in ms. */
  readonly checkpointLeadMs: number;
}

export const defaultGuardLimits: GuardLimits = {
  memoryStopFactor: 1.5,
  coreThrottleFactor: 1.25,
  overuseGraceMs: 500,
  throttledGraceMs: 2000,
  maxReportAgeMs: 5000,
  checkpointLeadMs: 250,
};

export type GuardVerdict =
  | {readonly kind: 'continue'}
  | {readonly kind: 'throttle'; readonly cause: string}
  | {readonly kind: 'checkpoint'; readonly cause: string}
  | {readonly kind: 'stop'; readonly cause: string};

/** Takes in a report. One measured before the latest changes nothing. */
export function updateUsage(
  task: GuardedTask,
  report: UsageReport,
  limits: GuardLimits = defaultGuardLimits,
): GuardedTask {
  const {usage} = task;
  if (usage !== undefined && usage.measuredAt >= report.measuredAt) return task;
  const over = describeOveruse(task.demand, report, limits) !== undefined;
  const overSince = over ? (task.overSince ?? report.measuredAt) : undefined;
  return {...task, usage: report, overSince};
}

/**
 * Judges one task. The lease ends a task for certain. A lagging report is
 * evidence of its own time only: overuse counts from when it was measured, must
 * span the grace between two reports, and is forgotten when reports stop.
 */
export function judgeGuard(
  task: GuardedTask,
  now: Instant,
  limits: GuardLimits = defaultGuardLimits,
): GuardVerdict {
  if (now >= task.leaseDeadline) return {kind: 'stop', cause: 'lease ended'};
  if (
    task.canCheckpoint &&
    now >= task.leaseDeadline - limits.checkpointLeadMs
  ) {
    return {kind: 'checkpoint', cause: 'lease about to end'};
  }
  const {usage, overSince} = task;
  if (usage === undefined || overSince === undefined) return {kind: 'continue'};
  if (now - usage.measuredAt > limits.maxReportAgeMs) return {kind: 'continue'};
  const overuse = describeOveruse(task.demand, usage, limits);
  if (overuse === undefined) return {kind: 'continue'};
  return judgeOveruse(task, overuse, usage.measuredAt - overSince, limits);
}

interface Overuse {
  readonly resource: 'cores' | 'memory' | 'accelerators';
  readonly cause: string;
}

function judgeOveruse(
  task: GuardedTask,
  {resource, cause}: Overuse,
  lastedMs: number,
  limits: GuardLimits,
): GuardVerdict {
  const lasting = lastedMs >= limits.overuseGraceMs;
  const end = {
    kind: task.canCheckpoint ? 'checkpoint' : 'stop',
    cause,
  } as const;
  switch (resource) {
    case 'memory':
      return lasting ? end : {kind: 'throttle', cause};
    case 'accelerators':
      return lasting ? end : {kind: 'continue'};
    case 'cores':
      if (!lasting) return {kind: 'continue'};
      return task.throttled && lastedMs >= limits.throttledGraceMs
        ? end
        : {kind: 'throttle', cause};
    default:
      return failUnreachable(resource);
  }
}

function describeOveruse(
  demand: ResourceDemand,
  usage: UsageReport,
  limits: GuardLimits,
): Overuse | undefined {
  if (usage.memoryMb > demand.memoryMb * limits.memoryStopFactor) {
    return {
      resource: 'memory',
      cause: `uses ${usage.memoryMb} MB of memory of ${demand.memoryMb} MB`,
    };
  }
  if (usage.accelerators > demand.accelerators) {
    return {
      resource: 'accelerators',
      cause: `uses ${usage.accelerators} accelerators of ${demand.accelerators}`,
    };
  }
  if (usage.cores > demand.cores * limits.coreThrottleFactor) {
    return {
      resource: 'cores',
      cause: `uses ${usage.cores} cores of ${demand.cores}`,
    };
  }
  return undefined;
}
