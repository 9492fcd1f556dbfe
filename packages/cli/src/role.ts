import {runAgent} from '#agent';
import {runControl} from '#control';
import {runEntry} from '#entry';
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
  type Logger,
  openLog,
  openMetrics,
  type Runtime,
} from '#telemetry';
import {type Console, printErrors} from './console.js';
import {watchStopSignals} from './signals.js';

/** A control replica has no jobs to finish; its peers take over at once. */
const controlDrainMs = 10_000;
/** How long a halted role may take to return before the process ends all the same. */
const haltMs = 5000;

/** Runs a process of the system until it is told to stop; returns its exit code. */
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
    Right: loaded => runLoaded(loaded),
  });
}

async function runLoaded(loaded: LoadedSettings): Promise<ExitCode> {
  const {id, place, logLevel, metrics: sink, role} = loaded.process;
  const log = openLog(logLevel, role.kind, id);
  stopOnBrokenInvariants(process, log);
  const tags = {role: role.kind, id, site: place.site};
  const metrics = openMetrics(sink, tags);
  const drainMs = role.kind === 'control' ? controlDrainMs : role.drainMs;
  const signals = watchStopSignals(process, drainMs, signal =>
    log.info({event: 'signal', signal}, 'asked to stop'),
  );
  signals.halt.addEventListener('abort', () => endAfterHalt(log));
  const {drain, halt} = signals;
  const runtime = {log, metrics, clock: monotonicClock, drain, halt};
  log.info({event: 'start', pid: process.pid}, 'starting');
  const code = await endOnFatal(startRole(loaded, runtime), log);
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

/** What a fatal error needs of the process. */
export interface FatalSource {
  readonly on: (
    event: 'uncaughtException' | 'unhandledRejection',
    listener: (error: unknown) => void,
  ) => unknown;
  readonly exit: (code: number) => unknown;
}

/** An error that nothing handles is a broken invariant: the state cannot be trusted further. */
export function stopOnBrokenInvariants(source: FatalSource, log: Logger): void {
  const stop = (error: unknown) => source.exit(logFatal(log, error));
  source.on('uncaughtException', stop);
  source.on('unhandledRejection', stop);
}

/** Gives the role's exit code; when the role throws, the error is as fatal as an unhandled one. */
async function endOnFatal(
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

function endAfterHalt(log: Logger): void {
  const timer = setTimeout(() => {
    log.error({event: 'halt-timeout'}, `not stopped within ${haltMs} ms`);
    process.exit(exitCode.drainIncomplete);
  }, haltMs);
  timer.unref();
}
