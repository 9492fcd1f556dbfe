import {
  type Command,
  InvalidArgumentError,
  Option,
  type OptionValues,
} from 'commander';
import {
  type Address,
  computeDeadline,
  type Instant,
  monotonicClock,
  parseAddress,
} from '#model';
import {type ExitCode, exitCode} from '#telemetry';
import {type Console, printErrors} from './console.js';
import type {RemoteFailure} from './control-client.js';

/** Context that all commands share. */
export interface CommandContext {
  readonly console: Console;
  /** Sets the exit code of the program. */
  readonly setExitCode: (code: ExitCode) => void;
}

/** Options of every command built with `setAction`. */
export interface CommonOptions {
  readonly json?: boolean;
}

export interface RemoteOptions extends CommonOptions {
  readonly timeoutMs: number;
}

export interface ControlOptions extends RemoteOptions {
  readonly control: readonly Address[];
}

/** Adds `--json` and the action of a command; `run` gets the options, then the positional arguments. */
export function setAction<Options extends OptionValues>(
  command: Command,
  context: CommandContext,
  run: (options: Options, ...args: string[]) => Promise<ExitCode>,
): Command {
  return command
    .option('--json', 'print one line of JSON')
    .action(async (...actionArgs: unknown[]) => {
      const args = actionArgs.slice(0, -2) as string[];
      context.setExitCode(await run(actionArgs.at(-2) as Options, ...args));
    });
}

const defaultTimeoutMs = '15000';

export function addTimeoutOption(command: Command): Command {
  return command.addOption(
    new Option('--timeout-ms <ms>', 'time limit for remote requests')
      .default(Number(defaultTimeoutMs))
      .argParser(parseCount),
  );
}

/** Adds `--control` (repeatable) and `--timeout-ms`. */
export function addControlOptions(command: Command): Command {
  return addTimeoutOption(command).requiredOption(
    '--control <address>',
    'IP:PORT of a control replica (repeatable)',
    collectAddress,
  );
}

/** Adds `--entry` (repeatable) and `--timeout-ms`. */
export function addEntryOptions(command: Command): Command {
  return addTimeoutOption(command).requiredOption(
    '--entry <url>',
    'base URL of an entry (repeatable)',
    collectUrl,
  );
}

export function collectAddress(
  text: string,
  previous: readonly Address[] = [],
): readonly Address[] {
  return parseAddress(text).caseOf({
    Left: detail => {
      throw new InvalidArgumentError(detail);
    },
    Right: () => [...previous, text],
  });
}

export function collectUrl(
  text: string,
  previous: readonly string[] = [],
): readonly string[] {
  if (!URL.canParse(text) || !/^https?:$/.test(new URL(text).protocol)) {
    throw new InvalidArgumentError(`"${text}" is not an HTTP URL.`);
  }
  return [...previous, text];
}

/** Parses a non-negative integer. */
export function parseCount(text: string): number {
  const value = Number(text);
  if (!/^\d+$/.test(text) || !Number.isSafeInteger(value)) {
    throw new InvalidArgumentError('Expected a non-negative integer.');
  }
  return value;
}

export function computeCommandDeadline(options: RemoteOptions): Instant {
  return computeDeadline(monotonicClock.now(), options.timeoutMs);
}

/** Prints the failure of a remote request; returns the exit code. */
export function reportFailure(
  console: Console,
  options: CommonOptions,
  failure: RemoteFailure,
): ExitCode {
  printErrors(console, options, [`${failure.kind}: ${failure.detail}`]);
  return failure.kind === 'unanswered' ? exitCode.unknown : exitCode.remote;
}
