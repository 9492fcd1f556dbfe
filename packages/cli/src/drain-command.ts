import {setTimeout as sleep} from 'node:timers/promises';
import type {Command} from 'commander';
import {type Either, Left, Right} from 'purify-ts';
import {type Address, type Instant, monotonicClock} from '#model';
import {type ExitCode, exitCode} from '#telemetry';
import {
  addTimeoutOption,
  collectAddress,
  computeCommandDeadline,
  type Context,
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

/** Adds `drain`, which makes an agent refuse new tasks and end when the running ones have. */
export function addDrainCommand(program: Command, context: Context): void {
  const command = program
    .command('drain')
    .description('Drain an agent; entries and controls drain on SIGTERM')
    .option('--agent <address>', 'IP:PORT of the agent', collectAddress)
    .option('--target <name>', 'or the name of its target')
    .option('--control <address>', 'a control that knows it', collectAddress)
    .option(
      '--remaining-ms <ms>',
      'time for the tasks that run',
      parseCount,
      defaultRemainingMs,
    )
    .option('--wait', 'until the agent is gone');
  setAction(addTimeoutOption(command), context, (options: DrainOptions) =>
    drainAgent(context, options),
  );
}

async function drainAgent(
  {console}: Context,
  options: DrainOptions,
): Promise<ExitCode> {
  const isNamed = options.target !== undefined && options.control !== undefined;
  if ((options.agent === undefined) === !isNamed) {
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
  const isGone = options.wait
    ? await awaitGone(agents, monotonicClock.now() + options.remainingMs)
    : undefined;
  printResult(
    console,
    options,
    {draining: agents, ...(isGone !== undefined && {gone: isGone})},
    () => `${isGone ? 'drained' : 'draining'}: ${agents.join(', ')}`,
  );
  return isGone === false ? exitCode.drainIncomplete : exitCode.ok;
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
const dialMs = 1000;

/** Waits until nothing listens at the addresses; false when the deadline passes first. */
async function awaitGone(
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
  const deadline = monotonicClock.now() + dialMs;
  const reply = await requestOnce(agent, 'agent.status', {}, deadline);
  return reply.caseOf({
    Left: failure => failure.kind !== 'unreachable',
    Right: () => true,
  });
}
