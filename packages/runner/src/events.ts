import type {Logger} from '#telemetry';
import type {ExecutorInfo} from './executor.js';
import {formatRun, type Run} from './run.js';

/** The executor has begun a run. */
export function logStart(log: Logger, {ref}: Run): void {
  log.debug({event: 'run-begun', run: formatRun(ref)}, 'a run has begun');
}

/** The executor refused a run, or left its order unanswered. */
export function logFailedStart(log: Logger, {ref}: Run, cause: string): void {
  log.warn(
    {event: 'start-failed', run: formatRun(ref), cause},
    'the run is given back to its dispatcher',
  );
}

/** A run makes no progress and is stopped. */
export function logStall(log: Logger, run: Run, stillMs: number): void {
  const {ref, percent} = run;
  log.warn(
    {event: 'run-stalled', run: formatRun(ref), percent, stillMs},
    'the run makes no progress; it is stopped',
  );
}

/** A dispatcher has not renewed its permission in time. */
export function logSilence(
  log: Logger,
  dispatcher: string,
  runs: number,
): void {
  log.warn(
    {event: 'dispatcher-silent', dispatcher, runs},
    'a dispatcher does not renew its permission; its runs are stopped',
  );
}

/** An executor has announced a new life of itself. */
export function logLife(
  log: Logger,
  {target, incarnation}: ExecutorInfo,
  runs: number,
): void {
  log.info(
    {event: 'executor-life', target, incarnation, runs},
    'a new life of the executor: it runs nothing of before',
  );
}

/** The executor's lease has run out while it did not answer. */
export function logLapse(log: Logger, detail: string, runs: number): void {
  log.warn({event: 'executor-lost', detail, runs}, 'its lease has run out');
}
