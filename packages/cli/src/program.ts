import {Command, CommanderError} from 'commander';
import type {SettingsFiles} from '#settings';
import {type ExitCode, exitCode} from '#telemetry';
import {addConfigCommands} from './config-commands.js';
import {type Console} from './console.js';
import {addDomainCommands} from './domain-commands.js';
import {addDrainCommand} from './drain-command.js';
import {addExplainCommand} from './explain-command.js';
import {addJobCommands} from './job-commands.js';
import {addMemberCommands} from './member-commands.js';
import {runRole} from './role.js';
import {addSettingsCommands} from './settings-commands.js';
import {addStatusCommand} from './status-command.js';
import {version} from './version.js';

/** Runs a command line; `args` do not include the program name. Returns the exit code. */
export async function runProgram(
  args: readonly string[],
  console: Console,
): Promise<ExitCode> {
  let code: ExitCode = exitCode.ok;
  const program = buildProgram(console, result => (code = result));
  try {
    await program.parseAsync(args, {from: 'user'});
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    return error.exitCode === 0 ? exitCode.ok : exitCode.usage;
  }
  return code;
}

const exitCodeHelp = `
Exit codes:
  0  success; for "job submit": the answer is complete
  1  the drain deadline passed before all work finished
  2  usage error
  3  invalid settings or configuration
  4  an address is in use, or a folder or log file is not accessible
  5  a remote process refused the request or was unreachable; nothing was done
  6  the job was admitted and failed
  7  outcome unknown: retry with the same key or change id
  8  conflict: another configuration change was accepted first
  70 internal error (broken invariant)`;

function buildProgram(
  console: Console,
  setExitCode: (code: ExitCode) => void,
): Command {
  const program = new Command('wasabiring')
    .description('A dispatcher for sub-second tasks')
    .version(version)
    .addHelpText('after', exitCodeHelp)
    .exitOverride()
    .configureOutput({writeOut: console.out, writeErr: console.err});
  const context = {console, setExitCode};
  addRoleCommands(program, console, setExitCode);
  addSettingsCommands(program, context);
  addConfigCommands(program, context);
  addJobCommands(program, context);
  addStatusCommand(program, context);
  addDrainCommand(program, context);
  addMemberCommands(program, context);
  addDomainCommands(program, context);
  addExplainCommand(program, context);
  return program;
}

const roles = [
  ['control', 'Run a replica of the control group'],
  ['entry', 'Run an entry, which accepts jobs from callers'],
  ['agent', 'Run the agent of one target'],
] as const;

function addRoleCommands(
  program: Command,
  console: Console,
  setExitCode: (code: ExitCode) => void,
): void {
  for (const [role, summary] of roles) {
    program
      .command(role)
      .description(summary)
      .requiredOption('--settings <file>', 'process settings (TOML)')
      .option(
        '--overlay <file>',
        'settings that override those of --settings (TOML)',
      )
      .action(async (files: SettingsFiles) =>
        setExitCode(await runRole(files, role, console)),
      );
  }
}
