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

/** What the commands share. */
export interface Context {
  readonly console: Console;
  /** Sets the exit code of the program. */
  readonly end: (code: ExitCode) => void;
}

/** Options that most commands have. */
export interface CommonOptions {
  readonly json?: boolean;
}

export interface RemoteOptions extends CommonOptions {
  readonly timeoutMs: number;
}

export interface ControlOptions extends RemoteOptions {
  readonly control: readonly Address[];
}

/** Runs a command's action with `--json`; the positional arguments come first. */
export function setAction<Options extends OptionValues>(
  command: Command,
  context: Context,
  run: (options: Options, ...args: string[]) => Promise<ExitCode>,
): Command {
  return command
    .option('--json', 'print one line of JSON')
    .action(async (...all: unknown[]) => {
      const args = all.slice(0, -2) as string[];
      context.end(await run(all.at(-2) as Options, ...args));
    });
}

const defaultTimeoutMs = '15000';

export function addTimeoutOption(command: Command): Command {
  return command.addOption(
    new Option('--timeout-ms <ms>', 'give up after this time')
      .default(Number(defaultTimeoutMs))
      .argParser(parseCount),
  );
}

/** Adds `--control`, which may be repeated, and `--timeout-ms`. */
export function addControlOptions(command: Command): Command {
  return addTimeoutOption(command).requiredOption(
    '--control <address>',
    'IP:PORT of a control replica; repeat it for others',
    collectAddress,
  );
}

/** Adds `--entry`, which may be repeated, and `--timeout-ms`. */
export function addEntryOptions(command: Command): Command {
  return addTimeoutOption(command).requiredOption(
    '--entry <url>',
    'base URL of an entry; repeat it for others',
    collectUrl,
  );
}

export function collectAddress(
  text: string,
  before: readonly Address[] = [],
): readonly Address[] {
  return parseAddress(text).caseOf({
    Left: detail => {
      throw new InvalidArgumentError(detail);
    },
    Right: () => [...before, text],
  });
}

export function collectUrl(
  text: string,
  before: readonly string[] = [],
): readonly string[] {
  if (!URL.canParse(text) || !/^https?:$/.test(new URL(text).protocol)) {
    throw new InvalidArgumentError(`"${text}" is not an HTTP URL.`);
  }
  return [...before, text];
}

/** Parses a whole number of at least 0. */
export function parseCount(text: string): number {
  const value = Number(text);
  if (!/^\d+$/.test(text) || !Number.isSafeInteger(value)) {
    throw new InvalidArgumentError('Expected a whole number of at least 0.');
  }
  return value;
}

export function computeCommandDeadline(options: RemoteOptions): Instant {
  return computeDeadline(monotonicClock.now(), options.timeoutMs);
}

/** Prints why a remote request has no result and gives the exit code. */
export function reportFailure(
  console: Console,
  options: CommonOptions,
  failure: RemoteFailure,
): ExitCode {
  printErrors(console, options, [`${failure.kind}: ${failure.detail}`]);
  return failure.kind === 'unanswered' ? exitCode.unknown : exitCode.remote;
}
