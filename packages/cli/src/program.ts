import {Command, CommanderError} from 'commander';
import type {SettingsFiles} from '#settings';
import {type ExitCode, exitCode} from '#telemetry';
import {addConfigCommands} from './config-commands.js';
import {type Console} from './console.js';
import {addDrainCommand} from './drain-command.js';
import {addExplainCommand} from './explain-command.js';
import {addJobCommands} from './job-commands.js';
import {addMemberCommands} from './member-commands.js';
import {runRole} from './role.js';
import {addSettingsCommands} from './settings-commands.js';
import {addStatusCommand} from './status-command.js';
import {version} from './version.js';

/** Runs a command line, without the program's name; returns the exit code. */
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
  0  done; of "job submit": the answer is complete
  1  the drain deadline passed with work left
  2  wrong usage
  3  wrong settings or configuration
  4  an address is taken or a folder cannot be used
  5  a remote process refused or could not be reached; nothing was done
  6  the job was admitted and failed
  7  whether it was done is not known: ask again with the same key or change id
  8  another change of the configuration got there first
  70 a broken invariant`;

function buildProgram(
  console: Console,
  end: (code: ExitCode) => void,
): Command {
  const program = new Command('wasabiring')
    .description('A dispatcher for sub-second tasks')
    .version(version)
    .addHelpText('after', exitCodeHelp)
    .exitOverride()
    .configureOutput({writeOut: console.out, writeErr: console.err});
  const context = {console, end};
  addRoleCommands(program, console, end);
  addSettingsCommands(program, context);
  addConfigCommands(program, context);
  addJobCommands(program, context);
  addStatusCommand(program, context);
  addDrainCommand(program, context);
  addMemberCommands(program, context);
  addExplainCommand(program, context);
  return program;
}

const roles = [
  ['control', 'Run a replica of the control group'],
  ['entry', 'Run an entry, which takes jobs from callers'],
  ['agent', 'Run the agent of one target'],
] as const;

function addRoleCommands(
  program: Command,
  console: Console,
  end: (code: ExitCode) => void,
): void {
  for (const [role, summary] of roles) {
    program
      .command(role)
      .description(summary)
      .requiredOption('--settings <file>', 'settings of the process, in TOML')
      .option('--overlay <file>', 'differences, merged on top of the settings')
      .action(async (files: SettingsFiles) =>
        end(await runRole(files, role, console)),
      );
  }
}
