export {JournalWriter, readJournal} from './journal.js';
export type {JournalLine} from './journal.js';

export type {StandIn, StandInCounts, StandInOptions} from './standin.js';
export {openStandIn} from './standin.js';
export type {StandInBehaviour} from './behaviour.js';
export {defaultBehaviour} from './behaviour.js';

export type {Fault, Identify} from './proxy.js';
export {FaultProxy, noFault} from './proxy.js';
export type {DialledConnection} from './socket-owner.js';

export type {
  ConfigurationTables,
  SiteOptions,
  TargetOptions,
} from './site-options.js';
export {
  defaultConfiguration,
  describeExecutor,
  describeSite,
  describeWorker,
} from './site-options.js';
export type {ChildExit} from './child.js';
export {Child} from './child.js';
export type {MemberRole} from './member.js';
export {Member} from './member.js';
export type {SiteDescription} from './site.js';
export {Site} from './site.js';

export {Random} from './random.js';
export type {Arrivals, LoadOptions, PlannedJob, PlannedTask} from './load.js';
export {buildEcho, planLoad} from './load.js';
export type {Attempt, JobRecord, Outcome, RetryPolicy} from './caller.js';
export {Caller, readOutcome} from './caller.js';
export type {RunOptions} from './run-load.js';
export {runLoad} from './run-load.js';

export type {OutcomeCounts} from './check.js';
export {countOutcomes, findFinalOutcome, hasNoViolations} from './check.js';
export type {LatencySummary} from './latency.js';
export {computeIdealMs, measureResponse, summarizeTimes} from './latency.js';
export {formatTable} from './table.js';
export {sleepFor, waitUntil} from './wait.js';

export type {ChaosOptions, Disruption, DisruptionStep} from './chaos-plan.js';
export {describeDisruption, planChaos} from './chaos-plan.js';
export type {ChaosRun} from './chaos.js';
export {runChaos} from './chaos.js';
export {checkRaces, raceChanges, replaceControl} from './operator.js';
export {countPlacementOverhead, MessageTap} from './tap.js';
export type {LineFit, Point} from './fit.js';
export {computeLineFit} from './fit.js';
export type {
  FailureRow,
  HistogramRow,
  PlacementRow,
  RecoveryRow,
  ReportRow,
  RunRow,
} from './report-row.js';
export {formatRows, parseRows} from './report-row.js';
export {renderPage} from './report-page.js';
