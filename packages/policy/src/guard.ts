import {failUnreachable, type Instant, type ResourceDemand} from '#model';

/** A running task whose resource usage its agent supervises. */
export interface GuardedTask {
  readonly demand: ResourceDemand;
  /** Time at which the task is stopped, whatever its usage. */
  readonly runDeadline: Instant;
  /** Latest usage report; unset before the first. */
  readonly usage?: UsageReport;
  /** Measurement time of the first in an unbroken series of reports of overuse. */
  readonly overuseSince?: Instant;
  readonly canCheckpoint: boolean;
  readonly throttled: boolean;
}

/** Usage of a task as reported by its worker, some time after the measurement. */
export interface UsageReport {
  /** Time of the measurement, on this process's clock. */
  readonly measuredAt: Instant;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

export interface GuardLimits {
  /** Memory above the demand times this factor is overuse. */
  readonly memoryStopFactor: number;
  /** Cores above the demand times this factor are overuse. */
  readonly coreThrottleFactor: number;
  /** Overuse that lasts this long counts as sustained, in ms. */
  readonly overuseGraceMs: number;
  /** Core overuse that lasts this long ends a throttled task, in ms. */
  readonly throttledGraceMs: number;
  /** Reports older than this are ignored, in ms. */
  readonly maxReportAgeMs: number;
  /** A task that supports checkpoints is checkpointed this long before its run deadline, in ms. */
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

export type GuardAction =
  | {readonly kind: 'continue'}
  | {readonly kind: 'throttle'; readonly cause: string}
  | {readonly kind: 'checkpoint'; readonly cause: string}
  | {readonly kind: 'stop'; readonly cause: string};

/** Records a usage report. Ignores one that is not newer than the latest. */
export function updateUsage(
  task: GuardedTask,
  report: UsageReport,
  limits: GuardLimits = defaultGuardLimits,
): GuardedTask {
  const {usage} = task;
  if (usage !== undefined && usage.measuredAt >= report.measuredAt) return task;
  const isOverused = describeOveruse(task.demand, report, limits) !== undefined;
  const overuseSince = isOverused
    ? (task.overuseSince ?? report.measuredAt)
    : undefined;
  return {...task, usage: report, overuseSince};
}

/**
 * Decides what to do with a task. It is always stopped at its run deadline. Reports
 * arrive some time after the measurement: the duration of overuse is counted
 * between measurements, and overuse is ignored once the latest report is too old.
 */
export function chooseGuardAction(
  task: GuardedTask,
  now: Instant,
  limits: GuardLimits = defaultGuardLimits,
): GuardAction {
  if (now >= task.runDeadline) return {kind: 'stop', cause: 'lease ended'};
  if (task.canCheckpoint && now >= task.runDeadline - limits.checkpointLeadMs) {
    return {kind: 'checkpoint', cause: 'lease about to end'};
  }
  const {usage, overuseSince} = task;
  if (usage === undefined || overuseSince === undefined)
    return {kind: 'continue'};
  if (now - usage.measuredAt > limits.maxReportAgeMs) return {kind: 'continue'};
  const overuse = describeOveruse(task.demand, usage, limits);
  if (overuse === undefined) return {kind: 'continue'};
  return chooseOveruseAction(
    task,
    overuse,
    usage.measuredAt - overuseSince,
    limits,
  );
}

interface Overuse {
  readonly resource: 'cores' | 'memory' | 'accelerators';
  readonly cause: string;
}

function chooseOveruseAction(
  task: GuardedTask,
  {resource, cause}: Overuse,
  overuseMs: number,
  limits: GuardLimits,
): GuardAction {
  const isSustained = overuseMs >= limits.overuseGraceMs;
  const endAction = {
    kind: task.canCheckpoint ? 'checkpoint' : 'stop',
    cause,
  } as const;
  switch (resource) {
    case 'memory':
      return isSustained ? endAction : {kind: 'throttle', cause};
    case 'accelerators':
      return isSustained ? endAction : {kind: 'continue'};
    case 'cores':
      if (!isSustained) return {kind: 'continue'};
      return task.throttled && overuseMs >= limits.throttledGraceMs
        ? endAction
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
