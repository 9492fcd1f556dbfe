import {
  type Capacity,
  computeDeadline,
  type ConfigurationSource,
  failUnreachable,
  type VersionedSource,
} from '#model';
import {
  type AgentRole,
  describeSettingsError,
  parseConfiguration,
  type ProcessSettings,
} from '#settings';
import {exitCode, type ExitCode, type Runtime} from '#telemetry';
import {Agent} from './agent.js';
import {Executor} from './executor.js';
import type {Target} from './target.js';
import {Worker} from './worker.js';

/** A connection to the target that is silent for this long is given up; tasks end sooner. */
const answerTimeoutMs = 2 * 3_600_000;
const guardIntervalMs = 250;

/**
 * Runs the agent until it has drained. The configuration in force comes from
 * control alone: an agent takes no task before it has it, so that a version
 * never goes back over a restart.
 */
export async function runAgent(
  settings: ProcessSettings<AgentRole>,
  _configuration: ConfigurationSource,
  runtime: Runtime,
): Promise<ExitCode> {
  const {role, place} = settings;
  const starting = await Agent.start({
    settings,
    target: openTarget(role.url, role.capacity, runtime),
    runtime,
    incarnation: chooseIncarnation(),
    readConfiguration: ({source}: VersionedSource) =>
      parseConfiguration(source, place.site).mapLeft(errors =>
        errors.map(describeSettingsError).join('; '),
      ),
  });
  return starting.caseOf<Promise<ExitCode>>({
    Left: async detail => {
      runtime.log.error(
        {event: 'listen-failed', address: role.listen, detail},
        'cannot listen for entries',
      );
      return exitCode.environment;
    },
    Right: agent => serve(agent, role.drainMs, runtime),
  });
}

async function serve(
  agent: Agent,
  drainMs: number,
  runtime: Runtime,
): Promise<ExitCode> {
  const {drain, halt, clock, log} = runtime;
  log.info({event: 'listening', address: agent.address}, 'serving entries');
  const leave = () =>
    void agent.drain(computeDeadline(clock.now(), drainMs), halt);
  if (drain.aborted) leave();
  else drain.addEventListener('abort', leave, {once: true});
  const halted = new Promise<boolean>(resolve => {
    if (halt.aborted) resolve(false);
    else halt.addEventListener('abort', () => resolve(false), {once: true});
  });
  const complete = await Promise.race([agent.drained, halted]);
  await agent[Symbol.asyncDispose]();
  return complete ? exitCode.ok : exitCode.drainIncomplete;
}

/**
 * An agent has no disk, so it tells its lives apart by the wall clock at its
 * start: two processes cannot listen at one address within the same ms.
 */
function chooseIncarnation(): number {
  return Date.now();
}

function openTarget(
  url: string,
  capacity: Capacity,
  {clock, log}: Runtime,
): Target {
  switch (capacity.kind) {
    case 'executor':
      return new Executor(url, capacity.maxConnections, answerTimeoutMs);
    case 'worker':
      return new Worker({url, clock, log, answerTimeoutMs, guardIntervalMs});
    default:
      return failUnreachable(capacity);
  }
}
