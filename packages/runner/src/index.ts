export type {RunnerOptions} from './runner-options.js';
export {Runner} from './runner.js';

export type {
  ExecutorEndedRun,
  ExecutorRunEnd,
  ExecutorInfo,
  ExecutorPort,
  ExecutorReport,
  LeaseRequest,
  ExecutorRunningRun,
  StartRequest,
  StartOutcome,
  StartRefusal,
} from './executor.js';

export {executorLeaseMs} from './lease.js';
export {idleReportIntervalMs, permissionTtlMs} from './session.js';
