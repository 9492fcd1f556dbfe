import {computeDeadline, type ConfigurationSource} from '#model';
import type {EntryRole, ProcessSettings} from '#settings';
import {type ExitCode, exitCode, type Runtime} from '#telemetry';
import {Entry} from './entry.js';

/** Runs an entry until it is drained; returns the exit code of the process. */
export async function runEntry(
  settings: ProcessSettings<EntryRole>,
  configuration: ConfigurationSource,
  runtime: Runtime,
): Promise<ExitCode> {
  const {log, clock} = runtime;
  const opened = await Entry.open(settings, configuration, runtime);
  const entry = opened.extract();
  if (typeof entry === 'string') {
    log.error({event: 'start-failed', detail: entry}, 'cannot start the entry');
    return exitCode.environment;
  }
  log.info({event: 'listening', http: entry.httpAddress}, 'listening');
  await waitForAbort(runtime.drain);
  log.info({event: 'draining'}, 'draining');
  const deadline = computeDeadline(clock.now(), settings.role.drainMs);
  const drained = await entry.drain(deadline);
  if (!drained) {
    log.error(
      {event: 'drain-incomplete'},
      'the drain deadline passed with unanswered jobs',
    );
    return exitCode.drainIncomplete;
  }
  await entry[Symbol.asyncDispose]();
  log.info({event: 'drained'}, 'drained');
  return exitCode.ok;
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise(resolve =>
    signal.addEventListener('abort', () => resolve(), {once: true}),
  );
}
