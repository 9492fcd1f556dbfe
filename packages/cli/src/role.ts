import {runAgent} from '#agent';
import {runControl} from '#control';
import {runEntry} from '#entry';
import {Intake} from '#intake';
import {failUnreachable, monotonicClock} from '#model';
import {
  describeSettingsError,
  type LoadedSettings,
  loadProcessSettings,
  type Role,
  type SettingsFiles,
} from '#settings';
import {
  type ExitCode,
  exitCode,
  IntakeReporter,
  type Logger,
  openLog,
  openMetrics,
  type Runtime,
} from '#telemetry';
import {type Console, printErrors} from './console.js';
import {watchStopSignals} from './signals.js';

/** Drain time limit of a control replica, which has no jobs to finish; its peers take over at once. */
const controlDrainMs = 10_000;
/** Time a role has to return after `halt` before the process is forced to exit. */
const haltTimeoutMs = 5000;

/** Runs a control, entry or agent process until it is stopped; returns its exit code. */
export async function runRole(
  files: SettingsFiles,
  role: Role['kind'],
  console: Console,
): Promise<ExitCode> {
  return loadProcessSettings(files, role).caseOf({
    Left: async errors => {
      printErrors(console, {}, errors.map(describeSettingsError));
      return exitCode.settings;
    },
    Right: loaded => runWithSettings(loaded),
  });
}

async function runWithSettings(loaded: LoadedSettings): Promise<ExitCode> {
  const {id, place, logLevel, metrics: metricsSettings, role} = loaded.process;
  const log = openLog(logLevel, role.kind, id);
  stopOnBrokenInvariants(process, log);
  const tags = {role: role.kind, id, site: place.site};
  const metrics = openMetrics(metricsSettings, tags);
  const drainMs = role.kind === 'control' ? controlDrainMs : role.drainMs;
  const signals = watchStopSignals(process, drainMs, signal =>
    log.info({event: 'signal', signal}, 'received a stop signal'),
  );
  signals.halt.addEventListener('abort', () => scheduleForcedExit(log));
  const {drain, halt} = signals;
  const reporter = new IntakeReporter(log, metrics);
  const intake = new Intake({
    settings: loaded.intake,
    onRefused: reporter.record,
  });
  reporter.watch(intake);
  const clock = monotonicClock;
  const runtime = {log, metrics, clock, drain, halt, intake};
  log.info({event: 'start', pid: process.pid}, 'starting');
  const code = await awaitExitCode(startRole(loaded, runtime), log);
  log.info({event: 'exit', code}, 'stopped');
  signals[Symbol.dispose]();
  await metrics[Symbol.asyncDispose]();
  return code;
}

function startRole(
  {process, configuration}: LoadedSettings,
  runtime: Runtime,
): Promise<ExitCode> {
  const {role} = process;
  switch (role.kind) {
    case 'control':
      return runControl({...process, role}, configuration, runtime);
    case 'entry':
      return runEntry({...process, role}, configuration, runtime);
    case 'agent':
      return runAgent({...process, role}, configuration, runtime);
    default:
      return failUnreachable(role);
  }
}

/** The parts of `process` that fatal error handling uses. */
export interface ProcessEvents {
  readonly on: (
    event: 'uncaughtException' | 'unhandledRejection',
    listener: (error: unknown) => void,
  ) => unknown;
  readonly exit: (code: number) => unknown;
}

/** Exits on any unhandled error: it means a broken invariant, after which the state cannot be trusted. */
export function stopOnBrokenInvariants(
  source: ProcessEvents,
  log: Logger,
): void {
  const stop = (error: unknown) => source.exit(logFatal(log, error));
  source.on('uncaughtException', stop);
  source.on('unhandledRejection', stop);
}

/** Returns the exit code of the role; an error that it throws is treated like an unhandled one. */
async function awaitExitCode(
  running: Promise<ExitCode>,
  log: Logger,
): Promise<ExitCode> {
  try {
    return await running;
  } catch (error) {
    return logFatal(log, error);
  }
}

function logFatal(log: Logger, error: unknown): ExitCode {
  const detail = error instanceof Error ? error.message : String(error);
  log.fatal({event: 'broken-invariant', err: error}, detail);
  return exitCode.brokenInvariant;
}

function scheduleForcedExit(log: Logger): void {
  const timer = setTimeout(() => {
    log.error(
      {event: 'halt-timeout'},
      `role did not stop within ${haltTimeoutMs} ms of the halt; exiting`,
    );
    process.exit(exitCode.drainIncomplete);
  }, haltTimeoutMs);
  timer.unref();
}
