import type {ConfigurationSource} from '#model';
import {
  checkConfigurationSource,
  describeSettingsError,
  type ControlRole,
  type ProcessSettings,
} from '#settings';
import {type ExitCode, exitCode, type Runtime} from '#telemetry';
import {Control} from './control.js';
import {createReplicaStarter} from './replica-starter.js';

/** Runs a control replica until it is told to drain or fails; returns the process's exit code. */
export async function runControl(
  settings: ProcessSettings<ControlRole>,
  configuration: ConfigurationSource,
  runtime: Runtime,
): Promise<ExitCode> {
  const {log} = runtime;
  const errors = checkConfigurationSource(configuration).swap().orDefault([]);
  if (errors.length > 0) {
    for (const error of errors) {
      log.error({event: 'bad-configuration'}, describeSettingsError(error));
    }
    return exitCode.settings;
  }
  const opened = await Control.open({
    settings,
    configuration,
    runtime,
    startReplica: createReplicaStarter(settings, runtime.clock, runtime.drain),
  });
  return opened.caseOf({
    Left: async detail => {
      if (runtime.drain.aborted) return exitCode.ok;
      log.error({event: 'start-refused', detail}, detail);
      return exitCode.environment;
    },
    Right: control => serve(control, runtime),
  });
}

async function serve(control: Control, runtime: Runtime): Promise<ExitCode> {
  const {log, drain, halt} = runtime;
  log.info({event: 'ready', address: control.address}, 'listening');
  const cause = await Promise.race([control.failed, waitForAbort(drain)]);
  if (cause !== undefined) {
    log.error({event: 'replica-failed', detail: cause}, cause);
    await control[Symbol.asyncDispose]();
    return exitCode.environment;
  }
  const halted = waitForAbort(halt).then(() => 'halted' as const);
  const outcome = await Promise.race([control.drain(), halted]);
  return outcome === 'halted' ? exitCode.drainIncomplete : exitCode.ok;
}

function waitForAbort(signal: AbortSignal): Promise<undefined> {
  return new Promise(resolve => {
    if (signal.aborted) resolve(undefined);
    signal.addEventListener('abort', () => resolve(undefined), {once: true});
  });
}
