import type {Instant, RunEnd} from '#model';
import {type Logger, type Metrics, noopMetrics} from '#telemetry';
import type {ExecutorInfo} from './executor.js';
import {formatRun, type Run} from './run.js';
import type {Session} from './session.js';

/** Logs that the executor has started a run. */
export function logStart(log: Logger, {ref}: Run): void {
  log.debug({event: 'run-begun', run: formatRun(ref)}, 'run started');
}

/** Logs that the executor refused to start a run, or did not answer. */
export function logStartFailure(log: Logger, {ref}: Run, cause: string): void {
  log.warn(
    {event: 'start-failed', run: formatRun(ref), cause},
    'executor did not confirm the start; the run is returned to its dispatcher',
  );
}

/** Logs that a run makes no progress and is stopped. */
export function logStall(log: Logger, run: Run, now: Instant): void {
  const {ref, percent} = run;
  const stillMs = Math.round(now - run.progressedAt);
  log.warn(
    {event: 'run-stalled', run: formatRun(ref), percent, stillMs},
    'run makes no progress; stopping it',
  );
}

/** Logs that a dispatcher has not renewed its permission in time. */
export function logDispatcherTimeout(
  log: Logger,
  dispatcher: string,
  runs: number,
): void {
  log.warn(
    {event: 'dispatcher-silent', dispatcher, runs},
    'dispatcher did not renew its permission; stopping its runs',
  );
}

/** Counts a run's end, and its run time if it ran. */
export function measureRunEnd(
  {metrics = noopMetrics}: {readonly metrics?: Metrics},
  end: RunEnd,
  runMs: number,
): void {
  metrics.increment('runner.runs', 1, {end});
  if (runMs > 0) metrics.timing('runner.run', runMs, {end});
}

/** Logs that a dispatcher has attached. */
export function logAttachment(
  log: Logger,
  {dispatcher, life, runs: {size: runs}}: Session,
): void {
  log.info(
    {event: 'dispatcher-attached', dispatcher, life, runs},
    'dispatcher attached',
  );
}

/** Logs that the executor has no runs that the runner does not know. */
export function logAdoption(log: Logger, {target}: ExecutorInfo): void {
  log.info({event: 'executor-adopted', target}, 'no orphans');
}

/** Logs that the executor has announced a new incarnation. */
export function logIncarnation(
  log: Logger,
  {target, incarnation}: ExecutorInfo,
  runs: number,
): void {
  log.info(
    {event: 'executor-life', target, incarnation, runs},
    'executor announced a new incarnation; earlier runs have lapsed',
  );
}

/** Logs that the executor's lists come from a later incarnation than the one that has announced itself. */
export function logReplacement(
  log: Logger,
  {target, incarnation: announced}: ExecutorInfo,
  incarnation: number,
): void {
  log.info(
    {event: 'executor-replaced', target, announced, incarnation},
    'another incarnation of the executor answers; nothing starts until it has announced itself',
  );
}

/** Logs that the executor's lease has expired while it did not answer. */
export function logLeaseExpiry(
  log: Logger,
  detail: string,
  runs: number,
): void {
  log.warn(
    {event: 'executor-lost', detail, runs},
    'executor did not answer; its lease has expired',
  );
}

/** Logs and counts that the runner's failure domain was evacuated, or taken back into service. */
export function logEvacuation(
  {log, metrics = noopMetrics}: {log: Logger; metrics?: Metrics},
  isEvacuated: boolean,
  counts: {readonly returned: number; readonly running: number},
): void {
  if (isEvacuated) {
    metrics.increment('runner.evacuation.returned', counts.returned);
    log.info(
      {event: 'runner-evacuated', ...counts},
      'the failure domain is evacuated; waiting runs are returned, and none is started',
    );
    return;
  }
  log.info(
    {event: 'runner-restored'},
    'the failure domain is back in service; load returns gradually',
  );
}
