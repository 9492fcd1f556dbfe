export type {RunnerOptions} from './runner.js';
export {Runner} from './runner.js';

export type {
  EndedRow,
  EndKind,
  ExecutorInfo,
  ExecutorPort,
  ExecutorReport,
  LeaseRequest,
  RunningRow,
  StartRequest,
  StartOutcome,
  StartRefusal,
} from './executor.js';

export {executorLeaseMs} from './lease.js';
export {idleReportMs, permissionMs} from './session.js';
