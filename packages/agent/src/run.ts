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

/** Longest silence on a connection to the target; tasks reach their own time limit sooner. */
const responseTimeoutMs = 2 * 3_600_000;
const guardIntervalMs = 250;

/**
 * Runs the agent until it has drained. The configuration comes only from
 * control, and no task is accepted before it arrives, so that a restart never
 * falls back to an older version.
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
        'cannot listen for connections from entries',
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
  log.info(
    {event: 'listening', address: agent.address},
    'accepting connections from entries',
  );
  const startDrain = () =>
    void agent.drain(computeDeadline(clock.now(), drainMs), halt);
  if (drain.aborted) startDrain();
  else drain.addEventListener('abort', startDrain, {once: true});
  const halted = new Promise<boolean>(resolve => {
    if (halt.aborted) resolve(false);
    else halt.addEventListener('abort', () => resolve(false), {once: true});
  });
  const complete = await Promise.race([agent.drained, halted]);
  await agent[Symbol.asyncDispose]();
  return complete ? exitCode.ok : exitCode.drainIncomplete;
}

/**
 * An agent has no disk, so the incarnation is the wall clock at its start: two
 * processes cannot listen at one address within the same millisecond.
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
      return new Executor(url, capacity.maxConnections, responseTimeoutMs);
    case 'worker':
      return new Worker({url, clock, log, responseTimeoutMs, guardIntervalMs});
    default:
      return failUnreachable(capacity);
  }
}
