import {setTimeout as sleep} from 'node:timers/promises';
import type {Command} from 'commander';
import {type Either, Left, Right} from 'purify-ts';
import {type Address, type Instant, monotonicClock} from '#model';
import {type ExitCode, exitCode} from '#telemetry';
import {
  addTimeoutOption,
  collectAddress,
  computeCommandDeadline,
  type CommandContext,
  parseCount,
  type RemoteOptions,
  reportFailure,
  setAction,
} from './command.js';
import {printErrors, printResult} from './console.js';
import {
  ControlClient,
  type RemoteFailure,
  requestOnce,
} from './control-client.js';

interface DrainOptions extends RemoteOptions {
  readonly agent?: readonly Address[];
  readonly target?: string;
  readonly control?: readonly Address[];
  readonly remainingMs: number;
  readonly wait?: boolean;
}

const defaultRemainingMs = 30_000;

/** Adds `drain`, which makes an agent refuse new tasks and exit once the running ones have ended. */
export function addDrainCommand(
  program: Command,
  context: CommandContext,
): void {
  const command = program
    .command('drain')
    .description('Drain an agent; entries and controls drain on SIGTERM')
    .option('--agent <address>', 'IP:PORT of the agent', collectAddress)
    .option('--target <name>', 'name of its target, instead of --agent')
    .option(
      '--control <address>',
      'IP:PORT of a control, to look up --target',
      collectAddress,
    )
    .option(
      '--remaining-ms <ms>',
      'time limit for running tasks',
      parseCount,
      defaultRemainingMs,
    )
    .option('--wait', 'wait until the agent has stopped');
  setAction(addTimeoutOption(command), context, (options: DrainOptions) =>
    drainAgent(context, options),
  );
}

async function drainAgent(
  {console}: CommandContext,
  options: DrainOptions,
): Promise<ExitCode> {
  const isTargetGiven =
    options.target !== undefined && options.control !== undefined;
  if ((options.agent === undefined) === !isTargetGiven) {
    printErrors(console, options, [
      'state either --agent, or --target and --control',
    ]);
    return exitCode.usage;
  }
  const deadline = computeCommandDeadline(options);
  const found = await findAgents(options, deadline);
  if (found.isLeft()) {
    return reportFailure(console, options, found.swap().unsafeCoerce());
  }
  const agents = found.unsafeCoerce();
  for (const agent of agents) {
    const {remainingMs} = options;
    const reply = await requestOnce(
      agent,
      'agent.drain',
      {remainingMs},
      deadline,
    );
    if (reply.isLeft()) {
      return reportFailure(console, options, reply.swap().unsafeCoerce());
    }
  }
  const hasStopped = options.wait
    ? await waitUntilStopped(agents, monotonicClock.now() + options.remainingMs)
    : undefined;
  printResult(
    console,
    options,
    {draining: agents, ...(hasStopped !== undefined && {gone: hasStopped})},
    () => `${hasStopped ? 'drained' : 'draining'}: ${agents.join(', ')}`,
  );
  return hasStopped === false ? exitCode.drainIncomplete : exitCode.ok;
}

async function findAgents(
  options: DrainOptions,
  deadline: Instant,
): Promise<Either<RemoteFailure, readonly Address[]>> {
  if (options.agent !== undefined) return Right(options.agent);
  const status = await new ControlClient(options.control ?? []).readStatus(
    deadline,
  );
  return status.chain(({targets}) => {
    const found = targets.find(({target}) => target === options.target);
    if (found !== undefined) return Right([found.address]);
    return Left<RemoteFailure>({
      kind: 'refused',
      detail: `control knows no target "${options.target}"`,
    });
  });
}

const pollIntervalMs = 200;
const probeTimeoutMs = 1000;

/** Waits until no agent is reachable any more; false when the deadline passes first. */
async function waitUntilStopped(
  agents: readonly Address[],
  deadline: Instant,
): Promise<boolean> {
  for (const agent of agents) {
    while (await isListening(agent)) {
      if (monotonicClock.now() >= deadline) return false;
      await sleep(pollIntervalMs);
    }
  }
  return true;
}

async function isListening(agent: Address): Promise<boolean> {
  const deadline = monotonicClock.now() + probeTimeoutMs;
  const reply = await requestOnce(agent, 'agent.status', {}, deadline);
  return reply.caseOf({
    Left: failure => failure.kind !== 'unreachable',
    Right: () => true,
  });
}
